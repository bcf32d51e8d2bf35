#include "relay/peer_sync.h"

#include "fleet/store_reader_order.h"
#include "telemetry/duration_text.h"

#include <algorithm>
#include <random>

namespace galenaroad {

namespace {

using namespace std::chrono_literals;

constexpr auto tick_interval = 250ms;
// While neither the store nor a store reader responds, a peer's state is requested after this many
// ticks each time.
constexpr int ticks_per_request = 2;
constexpr std::size_t max_unlisted_peers = 16;
// A peer that does not read the store may be about to, so it is given this time; then other peers
// are tried until the skip time is over.
constexpr auto max_stale_time = 600ms;
constexpr auto skip_time = 2500ms;

std::string make_start_id(random_engine& random)
{
    return std::to_string(random());
}

} // namespace

peer_sync::peer_sync(relay_context& context, hooks callbacks, random_engine random)
    : m_context(context),
      m_hooks(std::move(callbacks)),
      m_random(random),
      m_server(context,
               {[this]() -> const plan_document& { return m_hooks.plan_in_force(); },
                [this] { return m_role.is_reader() && m_hooks.is_synced_with_store(); },
                [this] { return m_role.is_reader(); }, [this] { return m_hooks.is_complete(); },
                [this] { return fresh_peers(); }},
               make_start_id(m_random)),
      m_role(context.loop.time()),
      m_fetcher(
          context,
          [this](const peer_state& state, const std::string& peer) { apply_state(state, peer); },
          [this](const std::string& peer) {
              m_unlisted_peers.erase(peer);
              m_context.ranking.record_unreachable(peer, m_context.now());
          }),
      m_announcer(context, random_engine(m_random())),
      m_plan_source_changed_at(context.now())
{
}

void peer_sync::start()
{
    m_context.loop.after(tick_interval, [this] {
        tick();
        start();
    });
}

void peer_sync::on_local_owners_known()
{
    m_local_owners_known = true;
    update();
}

void peer_sync::on_state_change()
{
    m_server.on_state_change();
}

// The store readers of the data centre may not know a plan that did not come from them.
void peer_sync::on_newer_plan(const std::string& source)
{
    if (source.empty()) {
        if (m_role.polls_frequently()) {
            m_announcer.announce_to_other_data_centres();
        }
        return;
    }
    if (m_followed.count(source) > 0) {
        return;
    }
    for (const auto& [address, followed] : m_followed) {
        if (followed.follower->current_status() != peer_follower::status::unreachable) {
            m_announcer.announce_to(address);
        }
    }
}

void peer_sync::tick()
{
    update();
    ++m_ticks;
    if (has_plan_source() || m_ticks % ticks_per_request != 0) {
        return;
    }
    const auto address = choose_random_peer();
    if (!address.empty()) {
        m_fetcher.request_state(address);
    }
}

void peer_sync::update()
{
    if (!m_local_owners_known) {
        return;
    }
    refresh_reader_order();
    for (const auto& address : m_suggested) {
        const auto skipped = m_skipped.find(address);
        if (skipped != m_skipped.end() && skipped->second.is_reachable) {
            m_skipped.erase(skipped);
        }
    }
    const auto wanted = candidates();
    drop_unusable(wanted);
    follow_more(wanted);
    m_suggested.clear();
    const bool was_reader = m_role.is_reader();
    const auto preceding = observe_preceding_daemons();
    if (m_role.update(preceding) != was_reader) {
        m_context.log.note_state("store_reader",
                                 {{"reads", m_role.is_reader() ? "true" : "false"},
                                  {"daemons_before", std::to_string(preceding.total)},
                                  {"fresh", std::to_string(preceding.fresh)},
                                  {"reachable", std::to_string(preceding.reachable)}});
        m_hooks.watch_store(m_role.is_reader());
    }
    m_hooks.poll_store_frequently(m_role.polls_frequently());
    const bool is_fresh = m_role.is_reader() && m_hooks.is_synced_with_store();
    if (is_fresh != m_was_fresh) {
        m_was_fresh = is_fresh;
        m_server.on_state_change();
    }
    report_plan_source();
}

bool peer_sync::has_plan_source() const
{
    return m_hooks.is_synced_with_store() || !fresh_peers().empty();
}

// Tells how long nothing vouched for the plan, and who was followed then. A plan that arrives late
// while there is a source has another cause than one that arrives late without a source.
void peer_sync::report_plan_source()
{
    const bool has_source = has_plan_source();
    if (has_source == m_had_plan_source) {
        return;
    }
    const auto now = m_context.now();
    m_context.log.note_state(has_source ? "plan_source_found" : "plan_source_lost",
                             {{"after_ms", ms_text(now - m_plan_source_changed_at)},
                              {"reads", m_role.is_reader() ? "true" : "false"},
                              {"followed", std::to_string(m_followed.size())},
                              {"skipped", std::to_string(m_skipped.size())},
                              {"daemons", std::to_string(m_reader_order.size())}});
    m_context.metrics.record_plan_source(has_source);
    m_had_plan_source = has_source;
    m_plan_source_changed_at = now;
}

void peer_sync::refresh_reader_order()
{
    const auto change = m_context.directory.latest_change();
    if (change == m_reader_order_change) {
        return;
    }
    m_reader_order_change = change;
    m_reader_order =
        store_reader_order::daemons(m_context.directory, m_context.location.data_centre);
    m_reader_order.erase(
        std::remove(m_reader_order.begin(), m_reader_order.end(), m_context.location.address),
        m_reader_order.end());
}

bool peer_sync::precedes_self(const std::string& address) const
{
    return store_reader_order::is_before(address, m_context.location.address);
}

// Daemons that a peer reported as fresh come first. A store reader that gets no response from the
// store may follow any daemon, not only the preceding ones.
std::vector<std::string> peer_sync::candidates() const
{
    const bool accepts_any = m_role.is_reader() && !m_hooks.is_synced_with_store();
    std::vector<std::string> wanted;
    std::copy_if(m_reader_order.begin(), m_reader_order.end(), std::back_inserter(wanted),
                 [&](const auto& address) { return accepts_any || precedes_self(address); });
    std::stable_partition(wanted.begin(), wanted.end(), [this](const auto& address) {
        return std::find(m_suggested.begin(), m_suggested.end(), address) != m_suggested.end();
    });
    return wanted;
}

void peer_sync::drop_unusable(const std::vector<std::string>& wanted)
{
    const auto now = m_context.now();
    for (auto each = m_followed.begin(); each != m_followed.end();) {
        auto& followed = each->second;
        const auto status = followed.follower->current_status();
        const bool is_stale = status == peer_follower::status::stale;
        if (is_stale && !followed.is_stale) {
            followed.stale_since = now;
        }
        followed.is_stale = is_stale;
        const bool is_unreachable = status == peer_follower::status::unreachable;
        const bool is_unusable =
            is_unreachable || (is_stale && now - followed.stale_since >= max_stale_time);
        const bool is_wanted = std::find(wanted.begin(), wanted.end(), each->first) != wanted.end();
        if (is_unusable) {
            m_skipped[each->first] = {now + skip_time, !is_unreachable,
                                      followed.follower->has_lost_store()};
        }
        each = is_unusable || !is_wanted ? m_followed.erase(each) : std::next(each);
    }
    for (auto each = m_skipped.begin(); each != m_skipped.end();) {
        each = each->second.until <= now ? m_skipped.erase(each) : std::next(each);
    }
}

void peer_sync::follow_more(const std::vector<std::string>& wanted)
{
    for (const auto& address : wanted) {
        if (m_followed.size() >= store_reader_role::readers_per_data_centre) {
            return;
        }
        if (m_followed.count(address) > 0 || m_skipped.count(address) > 0) {
            continue;
        }
        m_followed[address].follower =
            std::make_unique<peer_follower>(m_context, address, [this, address](const auto& state) {
                apply_state(state, address);
            });
    }
}

preceding_daemons peer_sync::observe_preceding_daemons() const
{
    preceding_daemons preceding;
    preceding.total = static_cast<std::size_t>(
        std::count_if(m_reader_order.begin(), m_reader_order.end(),
                      [this](const auto& address) { return precedes_self(address); }));
    for (const auto& [address, followed] : m_followed) {
        const auto status = followed.follower->current_status();
        const bool is_fresh = status == peer_follower::status::fresh;
        if (precedes_self(address)) {
            preceding.fresh += is_fresh ? 1 : 0;
            preceding.reachable += status == peer_follower::status::unreachable ? 0 : 1;
            preceding.lost_store += followed.follower->has_lost_store() ? 1 : 0;
        }
    }
    for (const auto& [address, skipped] : m_skipped) {
        preceding.reachable += skipped.is_reachable && precedes_self(address) ? 1 : 0;
        preceding.lost_store += skipped.has_lost_store && precedes_self(address) ? 1 : 0;
    }
    return preceding;
}

std::vector<std::string> peer_sync::fresh_peers() const
{
    std::vector<std::string> addresses;
    for (const auto& [address, followed] : m_followed) {
        if (followed.follower->current_status() == peer_follower::status::fresh) {
            addresses.push_back(address);
        }
    }
    return addresses;
}

void peer_sync::apply_state(const peer_state& state, const std::string& peer)
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
        m_suggested = state.fresh_daemons;
    }
}

void peer_sync::on_plan_reported(std::uint64_t version, const std::string& address)
{
    if (address.empty() || address == m_context.location.address) {
        return;
    }
    if (m_context.directory.find(address) == nullptr &&
        m_unlisted_peers.size() < max_unlisted_peers) {
        m_unlisted_peers.insert(address);
    }
    m_fetcher.on_newer_version(version, address);
}

std::string peer_sync::choose_random_peer()
{
    std::vector<std::string> peers(m_unlisted_peers.begin(), m_unlisted_peers.end());
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

void peer_sync::handle_request(const std::shared_ptr<server_exchange>& client)
{
    const auto request = m_server.handle_request(client);
    if (request) {
        on_plan_reported(request->plan_version, request->address);
    }
}

} // namespace galenaroad
