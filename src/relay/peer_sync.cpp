#include "relay/peer_sync.h"

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
// A reader that has not listed the store within this time has lost it.
constexpr auto max_listing_time = 2s;
// Time without a source of the plan after which the store is probed, and what is added for each
// doubling of the place in the store_reader_order. Daemons in front read the store sooner.
constexpr auto probe_delay = 100ms;
constexpr auto probe_delay_step = 100ms;
// The store may begin to respond again to any daemon. In an outage for all, each daemon makes one
// call in this time.
constexpr auto probe_interval = 2s;

std::string make_start_id(random_engine& random)
{
    return std::to_string(random());
}

} // namespace

peer_sync::peer_sync(relay_context& context, hooks callbacks, random_engine random,
                     std::size_t link_rate)
    : m_context(context),
      m_hooks(std::move(callbacks)),
      m_random(random),
      m_server(context,
               {[this] { return m_role.is_reader() && m_hooks.is_synced_with_store(); },
                [this] { return m_role.is_reader(); }, [this] { return has_lost_store(); },
                [this] { return m_hooks.is_complete(); }, [this] { return m_hooks.era(); },
                [this] { return m_readers.fresh(); }},
               make_start_id(m_random)),
      m_role(context.loop.time()),
      m_readers(context, [this](const auto& state, const auto& peer) { apply_state(state, peer); }),
      m_poller(
          context, [this](const auto& state, const auto& peer) { apply_state(state, peer); },
          [this](const auto& peer) { on_unreachable(peer); }),
      m_fetcher(
          context,
          {[this](const auto& staged, const auto& peer) { return m_hooks.change(staged, peer); },
           [this](const auto& peer) { on_unreachable(peer); }},
          random_engine(m_random())),
      m_plan_server(context, link_rate),
      m_announcer(context, random_engine(m_random())),
      m_restores(context,
                 {[this] { return m_hooks.era(); },
                  [this](store_era era) { m_hooks.verify_record(era); },
                  [this] { m_hooks.read_other_plan(); }},
                 random_engine(m_random())),
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

void peer_sync::on_unreachable(const std::string& peer)
{
    m_unlisted_peers.erase(peer);
    m_context.ranking.record_unreachable(peer, m_context.now());
}

void peer_sync::on_newer_plan(const std::string& source)
{
    m_fetcher.on_plan_changed();
    const bool is_from_store = source.empty();
    if (is_from_store && m_role.polls_frequently()) {
        m_announcer.announce_to_other_data_centres();
    }
    if (!is_from_store && !m_readers.follows(source)) {
        // The store readers of the data centre may not know the plan.
        for (const auto& address : m_readers.reachable()) {
            m_announcer.announce_to(address);
        }
    }
    if (!has_plan_source()) {
        // The other daemons probably have no source either.
        m_announcer.announce_to_neighbours();
    }
}

void peer_sync::tick()
{
    update();
    repeat_reports();
    ++m_ticks;
    if (has_plan_source() || m_ticks % ticks_per_request != 0) {
        return;
    }
    const auto address = choose_random_peer();
    if (!address.empty()) {
        m_poller.request_state(address);
    }
}

// A followed daemon reports a version once, and fetching it may have failed since.
void peer_sync::repeat_reports()
{
    for (const auto& [address, version] : m_readers.plan_versions()) {
        m_fetcher.on_newer_version(version, address);
    }
}

void peer_sync::update()
{
    if (!m_local_owners_known) {
        return;
    }
    // A store reader that gets no response from the store may follow any daemon.
    m_readers.update(m_role.is_reader() && !m_hooks.is_synced_with_store());
    const bool was_reader = m_role.is_reader();
    const auto preceding = m_readers.preceding();
    m_role.update(preceding);
    apply_role(was_reader, preceding);
    m_hooks.poll_store_frequently(m_role.polls_frequently());
    const bool is_fresh = m_role.is_reader() && m_hooks.is_synced_with_store();
    m_was_synced = m_was_synced || is_fresh;
    if (is_fresh != m_was_fresh) {
        m_was_fresh = is_fresh;
        m_server.on_state_change();
    }
    report_plan_source();
    probe_store_if_due();
}

void peer_sync::apply_role(bool was_reader, const preceding_daemons& preceding)
{
    if (m_role.is_reader() == was_reader) {
        return;
    }
    m_context.log.note_state("store_reader",
                             {{"reads", m_role.is_reader() ? "true" : "false"},
                              {"daemons_before", std::to_string(preceding.total)},
                              {"fresh", std::to_string(preceding.fresh)},
                              {"responding", std::to_string(preceding.responding)},
                              {"unreachable", std::to_string(preceding.unreachable)}});
    m_reading_since = m_context.now();
    m_was_synced = false;
    m_hooks.watch_store(m_role.is_reader());
}

// The store may respond to this daemon while it does not respond to any reader, and nobody would
// notice before the line of take-overs has come to this daemon.
void peer_sync::probe_store_if_due()
{
    const auto preceding = m_readers.preceding();
    if (m_context.has_plan_source || m_role.is_reader() || preceding.lost_store == 0) {
        return;
    }
    const auto place = static_cast<int>(preceding.total);
    const auto delay = probe_delay + probe_delay_step * store_reader_role::doublings(place);
    const auto due_at = std::max(m_plan_source_changed_at + delay, m_next_probe_at);
    const auto now = m_context.now();
    if (now >= due_at) {
        m_next_probe_at = now + probe_interval;
        m_hooks.probe_store();
    }
}

void peer_sync::on_store_restored()
{
    m_restores.on_era_changed();
    m_server.on_state_change();
}

// Deferred, since the store may be in the middle of a callback.
void peer_sync::on_store_probed()
{
    m_context.loop.after(0ms, [this] { take_over(); });
}

void peer_sync::take_over()
{
    if (has_plan_source() || m_role.is_reader()) {
        return;
    }
    m_role.take_over();
    apply_role(false, m_readers.preceding());
    update();
    m_announcer.announce_to_other_data_centres();
}

bool peer_sync::has_lost_store() const
{
    if (!m_role.is_reader() || m_hooks.is_synced_with_store()) {
        return false;
    }
    const bool has_tried_for_long = m_context.now() - m_reading_since >= max_listing_time;
    return m_was_synced || has_tried_for_long;
}

bool peer_sync::has_plan_source() const
{
    return m_hooks.is_synced_with_store() || !m_readers.fresh().empty();
}

// Tells how long nothing vouched for the plan, and who was followed then. A plan that arrives late
// while there is a source has another cause than one that arrives late without a source.
void peer_sync::report_plan_source()
{
    const bool has_source = has_plan_source();
    if (has_source == m_context.has_plan_source) {
        return;
    }
    const auto now = m_context.now();
    m_context.log.note_state(has_source ? "plan_source_found" : "plan_source_lost",
                             {{"after_ms", ms_text(now - m_plan_source_changed_at)},
                              {"reads", m_role.is_reader() ? "true" : "false"},
                              {"followed", std::to_string(m_readers.followed_count())},
                              {"skipped", std::to_string(m_readers.skipped_count())},
                              {"daemons", std::to_string(m_readers.daemon_count())}});
    m_context.metrics.record_plan_source(has_source);
    m_context.has_plan_source = has_source;
    m_plan_source_changed_at = now;
}

void peer_sync::apply_state(const peer_state& state, const std::string& peer)
{
    if (!state.owners.empty()) {
        m_hooks.owners(state.owners);
    }
    m_fetcher.on_newer_version(state.plan_version, peer);
    m_restores.on_peer_state(state);
    if (state.is_complete) {
        m_hooks.owners_complete();
    }
    if (!state.is_fresh && !state.fresh_daemons.empty()) {
        m_readers.suggest(state.fresh_daemons);
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
