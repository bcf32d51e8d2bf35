#include "relay/peer_sync.h"

#include "fleet/reader_order.h"

#include <algorithm>
#include <random>

namespace galenaroad {

namespace {

using namespace std::chrono_literals;

constexpr auto tick_interval = 250ms;
// While neither the store nor a reader is there, a peer is asked each time after so many ticks.
constexpr int ticks_per_question = 2;
constexpr std::size_t max_contacts = 16;
// A peer that does not read the store may be about to; then another one is tried for a while.
constexpr auto stale_time = 600ms;
constexpr auto pass_over_time = 2500ms;

std::string start_identity(random_engine& random)
{
    return std::to_string(random());
}

} // namespace

peer_sync::peer_sync(relay_context& context, hooks reactions, random_engine random)
    : m_context(context),
      m_hooks(std::move(reactions)),
      m_random(random),
      m_server(context,
               {[this]() -> const plan_document& { return m_hooks.document(); },
                [this] { return m_role.is_reader() && m_hooks.has_store(); },
                [this] { return m_role.is_reader(); }, [this] { return m_hooks.is_complete(); },
                [this] { return fresh_sources(); }},
               start_identity(m_random)),
      m_role(context.loop.time()),
      m_fetcher(
          context,
          [this](const peer_state& state, const std::string& peer) { take_state(state, peer); },
          [this](const std::string& peer) {
              m_contacts.erase(peer);
              m_context.ranking.record_unreachable(peer, m_context.now());
          }),
      m_announcer(context, random_engine(m_random()))
{
}

void peer_sync::start()
{
    m_context.loop.after(tick_interval, [this] {
        tick();
        start();
    });
}

void peer_sync::note_neighbours()
{
    m_knows_neighbours = true;
    update();
}

void peer_sync::note_change()
{
    m_server.note_change();
}

// A plan that came from elsewhere than the readers of the data centre may be news to these.
void peer_sync::note_newer_plan(const std::string& source)
{
    if (source.empty()) {
        if (m_role.watches_closely()) {
            m_announcer.tell_other_data_centres();
        }
        return;
    }
    if (m_followed.count(source) > 0) {
        return;
    }
    for (const auto& [address, followed] : m_followed) {
        if (followed.follower->current() != peer_follower::status::unreachable) {
            m_announcer.tell(address);
        }
    }
}

void peer_sync::tick()
{
    update();
    ++m_ticks;
    const bool is_synced = m_hooks.has_store() || !fresh_sources().empty();
    if (is_synced || m_ticks % ticks_per_question != 0 || m_fetcher.is_asking()) {
        return;
    }
    const auto address = any_peer();
    if (!address.empty()) {
        m_fetcher.ask(address);
    }
}

void peer_sync::update()
{
    if (!m_knows_neighbours) {
        return;
    }
    refresh_order();
    for (const auto& address : m_hinted) {
        const auto passed = m_passed_over.find(address);
        if (passed != m_passed_over.end() && passed->second.is_reachable) {
            m_passed_over.erase(passed);
        }
    }
    const auto wanted = candidates();
    drop_useless(wanted);
    follow_more(wanted);
    m_hinted.clear();
    const bool was_reader = m_role.is_reader();
    const auto seen = view();
    if (m_role.update(seen) != was_reader) {
        m_context.log.note_state("store_reader", {{"reads", m_role.is_reader() ? "true" : "false"},
                                                  {"daemons_before", std::to_string(seen.before)},
                                                  {"fresh", std::to_string(seen.fresh)},
                                                  {"reachable", std::to_string(seen.reachable)}});
        m_hooks.follow_store(m_role.is_reader());
    }
    m_hooks.watch_store_closely(m_role.watches_closely());
    const bool is_fresh = m_role.is_reader() && m_hooks.has_store();
    if (is_fresh != m_was_fresh) {
        m_was_fresh = is_fresh;
        m_server.note_change();
    }
}

void peer_sync::refresh_order()
{
    const auto change = m_context.directory.latest_change();
    if (change == m_order_change) {
        return;
    }
    m_order_change = change;
    m_order = reader_order::daemons(m_context.directory, m_context.location.data_centre);
    m_order.erase(std::remove(m_order.begin(), m_order.end(), m_context.location.address),
                  m_order.end());
}

bool peer_sync::is_before(const std::string& address) const
{
    return reader_order::is_before(address, m_context.location.address);
}

// Daemons that are said to be fresh come first. A reader that the store does not answer learns from
// whoever it answers.
std::vector<std::string> peer_sync::candidates() const
{
    const bool takes_any = m_role.is_reader() && !m_hooks.has_store();
    std::vector<std::string> wanted;
    std::copy_if(m_order.begin(), m_order.end(), std::back_inserter(wanted),
                 [&](const auto& address) { return takes_any || is_before(address); });
    std::stable_partition(wanted.begin(), wanted.end(), [this](const auto& address) {
        return std::find(m_hinted.begin(), m_hinted.end(), address) != m_hinted.end();
    });
    return wanted;
}

void peer_sync::drop_useless(const std::vector<std::string>& wanted)
{
    const auto now = m_context.now();
    for (auto each = m_followed.begin(); each != m_followed.end();) {
        auto& followed = each->second;
        const auto status = followed.follower->current();
        const bool is_stale = status == peer_follower::status::stale;
        if (is_stale && !followed.is_stale) {
            followed.stale_since = now;
        }
        followed.is_stale = is_stale;
        const bool is_unreachable = status == peer_follower::status::unreachable;
        const bool is_useless =
            is_unreachable || (is_stale && now - followed.stale_since >= stale_time);
        const bool is_wanted = std::find(wanted.begin(), wanted.end(), each->first) != wanted.end();
        if (is_useless) {
            m_passed_over[each->first] = {now + pass_over_time, !is_unreachable,
                                          followed.follower->has_lost_store()};
        }
        each = is_useless || !is_wanted ? m_followed.erase(each) : std::next(each);
    }
    for (auto each = m_passed_over.begin(); each != m_passed_over.end();) {
        each = each->second.until <= now ? m_passed_over.erase(each) : std::next(each);
    }
}

void peer_sync::follow_more(const std::vector<std::string>& wanted)
{
    for (const auto& address : wanted) {
        if (m_followed.size() >= reader_role::readers) {
            return;
        }
        if (m_followed.count(address) > 0 || m_passed_over.count(address) > 0) {
            continue;
        }
        m_followed[address].follower = std::make_unique<peer_follower>(
            m_context, address, [this, address](const auto& state) { take_state(state, address); });
    }
}

reader_view peer_sync::view() const
{
    reader_view seen;
    seen.before = static_cast<std::size_t>(
        std::count_if(m_order.begin(), m_order.end(),
                      [this](const auto& address) { return is_before(address); }));
    for (const auto& [address, followed] : m_followed) {
        const auto status = followed.follower->current();
        const bool is_fresh = status == peer_follower::status::fresh;
        if (is_before(address)) {
            seen.fresh += is_fresh ? 1 : 0;
            seen.reachable += status == peer_follower::status::unreachable ? 0 : 1;
            seen.lost += followed.follower->has_lost_store() ? 1 : 0;
        }
    }
    for (const auto& [address, passed] : m_passed_over) {
        seen.reachable += passed.is_reachable && is_before(address) ? 1 : 0;
        seen.lost += passed.has_lost_store && is_before(address) ? 1 : 0;
    }
    return seen;
}

std::vector<std::string> peer_sync::fresh_sources() const
{
    std::vector<std::string> addresses;
    for (const auto& [address, followed] : m_followed) {
        if (followed.follower->current() == peer_follower::status::fresh) {
            addresses.push_back(address);
        }
    }
    return addresses;
}

void peer_sync::take_state(const peer_state& state, const std::string& peer)
{
    if (!state.owners.empty()) {
        m_hooks.owners(state.owners);
    }
    if (state.plan) {
        m_hooks.plan(*state.plan, peer);
    }
    if (state.is_complete) {
        m_hooks.owners_complete();
    }
    if (!state.is_fresh && !state.fresh_daemons.empty()) {
        m_hinted = state.fresh_daemons;
    }
}

void peer_sync::heard_plan(std::uint64_t version, const std::string& address)
{
    if (address.empty() || address == m_context.location.address) {
        return;
    }
    if (m_context.directory.find(address) == nullptr && m_contacts.size() < max_contacts) {
        m_contacts.insert(address);
    }
    m_fetcher.hear(version, address);
}

std::string peer_sync::any_peer()
{
    std::vector<std::string> peers(m_contacts.begin(), m_contacts.end());
    for (const auto& record : m_context.directory.all()) {
        const bool is_self = record.address == m_context.location.address;
        if (!is_self && m_context.ranking.is_reachable(record.address, m_context.now())) {
            peers.push_back(record.address);
        }
    }
    if (peers.empty()) {
        return {};
    }
    std::uniform_int_distribution<std::size_t> any(0, peers.size() - 1);
    return peers[any(m_random)];
}

void peer_sync::answer(const std::shared_ptr<server_exchange>& client)
{
    const auto question = m_server.answer(client);
    if (question) {
        heard_plan(question->plan_version, question->address);
    }
}

} // namespace galenaroad
