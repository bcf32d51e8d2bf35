#include "relay/relay_node.h"

#include "base/unix_time.h"
#include "relay/owner_response_builder.h"
#include "relay/peer_state.h"
#include "relay/response_query_handler.h"

#include <Poco/Net/HTTPResponse.h>
#include <algorithm>
#include <limits>

namespace galenaroad {

namespace {

using namespace std::chrono_literals;

// Clocks of instances differ by seconds, and jump by seconds, which is far below this bound.
constexpr auto max_clock_skew = std::chrono::hours(24);
// Clients learn of the shutdown from the readiness check, which runs once a second and has to fail
// twice.
constexpr auto min_stop_time = 2500ms;
constexpr auto stop_check_interval = 50ms;
// Responses given at the end of the stop time are sent within this time, or not at all.
constexpr auto max_flush_time = 200ms;
// Not every client retries a request that is lost when its connection closes, so client connections
// stay open until the clients have learned of the shutdown.
constexpr auto closing_delay = 1500ms;
// An entry daemon has the whole body before it offers it, so only its connection can be slow.
constexpr auto max_body_pause = 1500ms;
// Multiple of the first list delay after which a daemon without an upstream lists owners as well.
constexpr int list_delay_factor_without_heartbeat = 3;
// Peers learn of a record within this time after it has been stored. Until then their records do
// not show what an earlier start of this daemon has acknowledged.
constexpr auto max_record_delay = 3s;
// Revision of a record that will be made once the state of an earlier start is known.
constexpr auto unknown_revision = std::numeric_limits<std::uint64_t>::max();

bool has_same_content(const owner_record& a, const owner_record& b)
{
    return a.address == b.address && a.data_centre == b.data_centre && a.region == b.region &&
           a.upstream_id == b.upstream_id && a.service == b.service && a.state == b.state &&
           a.start_time_ms == b.start_time_ms;
}

server_limits limits_for(const client_limits& limits, const relay_settings& settings)
{
    server_limits result;
    result.max_buffered_bytes = settings.max_body_memory;
    result.max_head_bytes = limits.max_head_bytes;
    result.max_body_bytes = limits.max_body_bytes;
    result.head_timeout = limits.head_timeout;
    result.idle_timeout = limits.idle_timeout;
    result.max_connections = settings.max_connections;
    return result;
}

// Peers add a header field to requests, and keep idle connections for longer than clients do.
server_limits peer_limits(const relay_settings& settings)
{
    server_limits result;
    result.max_buffered_bytes = settings.max_body_memory;
    result.body_timeout = max_body_pause;
    result.max_head_bytes = std::size_t{64} * 1024;
    result.idle_timeout = 60s;
    result.max_connections = settings.max_connections;
    return result;
}

// Refuses messages of another version of the protocol between daemons.
void refuse_unreadable_message(server_exchange& client)
{
    http_response_head refusal;
    refusal.status = Poco::Net::HTTPResponse::HTTP_BAD_REQUEST;
    client.respond(std::move(refusal), {});
}

// The start value is random, so that earlier runs of this daemon have not used the same ids.
std::function<std::string()> make_attempt_id_generator(std::uint64_t start)
{
    return [next = start]() mutable { return std::to_string(next++); };
}

} // namespace

relay_node::relay_node(relay_dependencies dependencies, relay_settings settings,
                       random_engine random)
    : m_dependencies(std::move(dependencies)),
      m_settings(std::move(settings)),
      m_metrics(m_dependencies.metrics),
      m_peer_client(m_dependencies.loop),
      m_upstream_client(m_dependencies.loop),
      m_context{
          m_dependencies.loop,
          m_peer_client,
          m_upstream_client,
          m_dependencies.log,
          m_metrics,
          m_settings.names,
          m_settings.location,
          {},
          owner_ranking(m_settings.location, random_engine(random())),
          {},
          owned_upstream(m_dependencies.loop.time(), m_settings.retries),
          response_store(m_dependencies.loop.time(), random_engine(random())),
          {},
          make_attempt_id_generator(random()),
          m_settings.own_service,
          {},
          0,
          false,
          {},
          {},
          buffer_budget(m_settings.max_response_memory),
          {},
          [this](std::uint64_t version, const std::string& address) {
              m_sync.on_plan_reported(version, address);
          },
          [this](const auto& address, const auto& health) { on_health_reported(address, health); },
          [this] { run_waiting(); }},
      m_plan_updater(m_context, m_dependencies.decode_plan,
                     [this](std::uint64_t replaced_version, const std::string& peer) {
                         on_plan_replaced(replaced_version, peer);
                     }),
      m_restart_check(m_settings.location.address),
      m_sync(m_context, make_sync_hooks(), random_engine(random()), m_settings.link_rate),
      m_datagrams(m_dependencies.loop, m_dependencies.log),
      m_health_reports(m_context, m_datagrams, random_engine(random())),
      m_quotas(
          m_context, m_datagrams, m_settings.tolerance, [this] { return m_owners_listed; },
          [this](const owner_record& record) { on_joined_peer(record); }, random_engine(random())),
      m_entry_server(m_dependencies.loop, limits_for({}, m_settings),
                     [this](auto client) { accept_client(std::move(client)); }),
      m_peer_server(m_dependencies.loop, peer_limits(m_settings),
                    [this](auto client) { accept_peer(std::move(client)); }),
      m_departures(m_context, {[this](std::uint64_t revision) { on_stored(revision); },
                               [this](const owner_record& record) { merge_owners({record}); }})
{
    m_context.quotas = &m_quotas;
}

peer_sync::hooks relay_node::make_sync_hooks()
{
    peer_sync::hooks hooks;
    hooks.change = [this](const auto& staged, const auto& peer) {
        return m_plan_updater.apply_change(staged, peer);
    };
    hooks.owners = [this](const auto& records) { merge_owners(records); };
    hooks.owners_complete = [this] {
        on_all_owners_listed();
        if (m_restart_check.peers_are_up_to_date()) {
            finish_restore("peer");
        }
    };
    hooks.watch_store = [this](bool follows) {
        m_store_listing_is_complete = false;
        m_dependencies.store.watch(follows);
    };
    hooks.probe_store = [this] { m_dependencies.store.probe(); };
    hooks.poll_store_frequently = [this](bool closely) {
        m_dependencies.store.poll_frequently(closely);
    };
    hooks.is_synced_with_store = [this] {
        return m_dependencies.store.is_plan_watch_healthy() && m_store_listing_is_complete &&
               m_context.plan_version() > 0;
    };
    hooks.is_complete = [this] { return m_owners_listed; };
    hooks.era = [this] { return m_dependencies.store.era(); };
    hooks.verify_record = [this](store_era era) { m_dependencies.store.verify_record(era); };
    hooks.read_other_plan = [this] {
        m_plan_updater.expect_other_contents();
        m_dependencies.store.probe();
    };
    return hooks;
}

void relay_node::start()
{
    m_peer_server.defer_bodies();
    const auto& listen = m_settings.listen_address;
    m_peer_server.listen(listen.empty() ? m_settings.location.address : listen);
    m_entry_server.listen(m_settings.entry_address);
    m_datagrams.start(listen.empty() ? m_settings.location.address : listen);
    m_context.owned.begin_restore();
    trust_peers_later();
    watch_store();
    m_sync.start();
    m_dependencies.log.note_state(
        "started", {{"address", m_settings.location.address}, {"service", m_settings.own_service}});
}

void relay_node::watch_store()
{
    fleet_store::hooks hooks;
    hooks.plan = [this](const plan_document& document) { m_plan_updater.apply_document(document); };
    hooks.owners = [this](const auto& records) { on_records_stored(records); };
    hooks.owner_removed = [this](const std::string& address) {
        if (address != m_settings.location.address) {
            m_context.directory.remove(address);
            m_quotas.update_members();
        }
    };
    hooks.local_owners_listed = [this] {
        m_peers_are_listed = true;
        m_sync.on_local_owners_known();
        finish_restore("store");
        publish();
    };
    hooks.owners_listed = [this] {
        m_store_listing_is_complete = true;
        m_peers_are_listed = true;
        finish_restore("store");
        on_all_owners_listed();
    };
    hooks.published = [this](std::uint64_t revision) {
        finish_restore("write");
        on_stored(revision);
    };
    hooks.own_record_found = [this](const auto& record) { on_own_record_found(record); };
    hooks.plan_watch_health_changed = [this] { m_sync.on_store_change(); };
    hooks.era_changed = [this] { m_sync.on_store_restored(); };
    hooks.probe_succeeded = [this] { m_sync.on_store_probed(); };
    m_dependencies.store.start(std::move(hooks));
    list_local_owners_after(m_settings.first_list_delay * list_delay_factor_without_heartbeat);
}

void relay_node::list_local_owners_after(std::chrono::milliseconds delay)
{
    const auto list = [this] {
        if (!m_has_requested_local_owners && !m_owners_listed) {
            m_has_requested_local_owners = true;
            m_dependencies.store.list_local_owners();
        }
    };
    if (delay == 0ms) {
        list();
        return;
    }
    m_dependencies.loop.after(delay, list);
}

void relay_node::on_all_owners_listed()
{
    if (m_owners_listed) {
        return;
    }
    m_owners_listed = true;
    m_peers_are_listed = true;
    m_quotas.update_members();
    m_sync.on_local_owners_known();
    publish();
}

bool relay_node::is_ready() const
{
    return m_context.plan_version() > 0 && m_owners_listed && !m_is_stopping;
}

void relay_node::on_plan_replaced(std::uint64_t replaced_version, const std::string& peer)
{
    const auto& limits = m_context.plans.in_force()->properties().limits;
    m_entry_server.set_limits(limits_for(limits, m_settings));
    m_sync.on_state_change();
    if (replaced_version > 0) {
        m_sync.on_newer_plan(peer);
    }
}

void relay_node::merge_owners(const std::vector<owner_record>& records)
{
    const auto& lifecycle = m_context.owned.lifecycle();
    for (const auto& record : records) {
        if (is_from_future(record)) {
            m_dependencies.log.note_state("owner_record_refused",
                                          {{"owner", record.address},
                                           {"revision", std::to_string(record.revision)},
                                           {"born_ms", std::to_string(record.start_time_ms)}});
            continue;
        }
        if (m_context.directory.merge(record)) {
            if (record.state == announced_state::ready) {
                m_context.ranking.record_joined(record.address);
            }
            m_dependencies.log.note("owner_record", {},
                                    {{"owner", record.address},
                                     {"upstream", record.upstream_id},
                                     {"service", record.service},
                                     {"state", std::to_string(static_cast<int>(record.state))},
                                     {"revision", std::to_string(record.revision)}});
        }
        const bool is_own = record.address == m_settings.location.address;
        if (is_own) {
            restore(record);
        }
        // A record of a later start of the upstream comes from a later start of this daemon.
        if (is_own && lifecycle.latest().start_time_ms >= record.start_time_ms) {
            publish();
        }
    }
    m_quotas.update_members();
    m_sync.on_state_change();
}

void relay_node::on_joined_peer(const owner_record& record)
{
    const bool is_own = record.address == m_settings.location.address;
    if (!is_own && !has_departed(record)) {
        merge_owners({record});
    }
}

// Revisions and start times are wall-clock times. One in the future comes from a foreign writer,
// and no later record of the owner would replace it.
bool relay_node::is_from_future(std::uint64_t time_ms) const
{
    return time_ms > unix_ms(m_dependencies.loop.time().system_now() + max_clock_skew);
}

bool relay_node::is_from_future(const owner_record& record) const
{
    return is_from_future(record.revision) || is_from_future(record.start_time_ms);
}

// A record of this daemon is restored whatever its revision is: revisions start at the wall-clock
// time, which may have been stepped back since an earlier start.
void relay_node::restore(const owner_record& record)
{
    const auto before = m_context.owned.lifecycle().state();
    m_has_earlier_record = true;
    m_context.owned.restore(record);
    if (record.revision > m_published.revision) {
        // Peers that have this record ignore what was published, which needs a new revision.
        m_published = {};
        m_published.revision = record.revision;
    }
    if (before == announced_state::ready && m_context.owned.lifecycle().state() != before) {
        m_dependencies.log.note_state(
            "departure_restored",
            {{"upstream", record.upstream_id}, {"revision", std::to_string(record.revision)}});
    }
}

// Handles records that the store has delivered, and with it what it has of this daemon.
void relay_node::on_records_stored(const std::vector<owner_record>& records)
{
    m_restart_check.on_records(records, m_dependencies.store.era());
    for (const auto& record : records) {
        if (record.address == m_settings.location.address && !is_from_future(record)) {
            m_stored = record;
        }
    }
    merge_owners(records);
    acknowledge_if_stored();
}

// The store has a record of this daemon, which this daemon or a peer has written.
void relay_node::on_stored(std::uint64_t revision)
{
    if (revision == m_published.revision) {
        m_stored = m_published;
    }
    m_departures.on_stored(revision);
    m_acknowledgements.on_stored(revision);
}

// A record that was read may say the same as the one that is being written.
void relay_node::acknowledge_if_stored()
{
    if (has_same_content(m_stored, current_record())) {
        m_acknowledgements.on_stored(m_stored.revision);
    }
}

// The store then writes the pending record, which must be one that does not contradict the record
// found.
void relay_node::on_own_record_found(const owner_record& record)
{
    m_restart_check.on_records({record}, m_dependencies.store.era());
    if (!is_from_future(record)) {
        m_stored = record;
        restore(record);
        m_context.directory.merge(record);
        acknowledge_if_stored();
    }
    finish_restore("write");
    m_published.address.clear(); // The record that was not written is not announced any more.
    announce(current_record());
}

void relay_node::finish_restore(const char* source)
{
    if (!m_context.owned.lifecycle().is_restoring() || m_restart_check.may_lack_departure()) {
        return;
    }
    if (must_ask_peers()) {
        ask_peers(source);
        return;
    }
    m_context.owned.finish_restore();
    m_dependencies.log.note_state(
        "owner_restored",
        {{"from", source},
         {"state", std::to_string(static_cast<int>(m_context.owned.lifecycle().state()))}});
    publish();
    m_acknowledgements.lower_revisions(m_published.revision);
}

// An earlier start may have acknowledged a departure that the store does not have: peers know it.
void relay_node::ask_peers(const char* source)
{
    if (!m_peers_are_listed) {
        list_local_owners_after(0ms);
        return;
    }
    if (m_is_asking_peers) {
        return;
    }
    m_is_asking_peers = true;
    m_departures.query([this, source] {
        m_has_asked_peers = true;
        finish_restore(source);
    });
}

// Without the store, the records of peers are the only source.
void relay_node::trust_peers_later()
{
    m_dependencies.loop.after(max_record_delay, [this] {
        const bool was_in_doubt = m_restart_check.may_lack_departure();
        m_restart_check.on_peers_up_to_date();
        if (was_in_doubt && m_context.owned.lifecycle().state() != announced_state::none) {
            // Records written in this era are not in doubt at the next start.
            m_published.address.clear();
            announce(current_record());
        }
        if (m_owners_listed) {
            finish_restore("peer");
        }
    });
}

owner_record relay_node::current_record() const
{
    const auto& lifecycle = m_context.owned.lifecycle();
    owner_record record;
    record.address = m_settings.location.address;
    record.data_centre = m_settings.location.data_centre;
    record.region = m_settings.location.region;
    record.upstream_id = lifecycle.latest().id;
    record.service = lifecycle.latest().service;
    record.state = lifecycle.state();
    record.start_time_ms = lifecycle.latest().start_time_ms;
    record.sequence = lifecycle.latest().sequence;
    return record;
}

void relay_node::publish()
{
    if (m_context.owned.lifecycle().state() == announced_state::none) {
        return;
    }
    auto record = current_record();
    const auto* const known = m_context.directory.find(record.address);
    const bool is_known = known != nullptr && has_same_content(*known, record);
    // A departure may be known from peers while the store lacks it, and is then written there.
    if (!is_known || (has_departed(record) && !has_same_content(m_stored, record))) {
        announce(std::move(record));
    }
}

// Until the state of an earlier start is known, `ready` is not announced to peers. It is written to
// the store, where the write fails if there is an earlier record.
void relay_node::announce(owner_record record)
{
    const bool is_tentative =
        m_context.owned.lifecycle().is_restoring() && record.state == announced_state::ready;
    if (is_tentative && (m_restart_check.may_lack_departure() || must_ask_peers())) {
        return;
    }
    if (!has_same_content(m_published, record)) {
        const auto now = unix_ms(m_dependencies.loop.time().system_now());
        // The wall clock may step back; the revision never does.
        record.revision = std::max(m_published.revision + 1, now);
        m_published = std::move(record);
        if (has_departed(m_published)) {
            m_departures.replicate(m_published);
        }
        else {
            m_departures.withdraw();
        }
        m_dependencies.store.publish(m_published);
    }
    if (!is_tentative) {
        m_context.directory.merge(m_published);
        m_quotas.update_members();
        m_sync.on_state_change();
    }
}

void relay_node::on_heartbeat(const upstream_heartbeat& heartbeat,
                              std::function<void()> acknowledge)
{
    if (!m_has_heartbeat) {
        m_has_heartbeat = true;
        list_local_owners_after(m_settings.first_list_delay);
    }
    if (is_from_future(heartbeat.start_time_ms)) {
        m_dependencies.log.note_state(
            "heartbeat_from_future",
            {{"upstream", heartbeat.id}, {"born_ms", std::to_string(heartbeat.start_time_ms)}});
        acknowledge();
        return;
    }
    const auto change = m_context.owned.on_heartbeat(heartbeat);
    acknowledge_change(change, std::move(acknowledge));
}

void relay_node::on_departure(const std::string& id, std::function<void()> acknowledge)
{
    const auto change = m_context.owned.on_departure(id);
    const bool may_be_known_later = m_context.owned.lifecycle().is_restoring();
    if (change == lifecycle_change::stale && may_be_known_later) {
        m_acknowledgements.add(unknown_revision, std::move(acknowledge));
        return;
    }
    acknowledge_change(change, std::move(acknowledge));
}

// The acknowledgement of a departure waits until the store has it, also if the departure was
// announced before.
void relay_node::acknowledge_change(lifecycle_change change, std::function<void()> acknowledge)
{
    if (change == lifecycle_change::stale) {
        acknowledge();
        return;
    }
    if (change != lifecycle_change::none) {
        log_change(change);
        publish();
    }
    if (!has_departed(current_record())) {
        acknowledge();
        return;
    }
    m_acknowledgements.add(m_published.revision, std::move(acknowledge));
}

void relay_node::log_change(lifecycle_change change)
{
    const auto& latest = m_context.owned.lifecycle().latest();
    m_dependencies.log.note_state("upstream_changed",
                                  {{"upstream", latest.id},
                                   {"service", latest.service},
                                   {"change", std::to_string(static_cast<int>(change))},
                                   {"sequence", std::to_string(latest.sequence)},
                                   {"born_ms", std::to_string(latest.start_time_ms)}});
}

void relay_node::accept_client(std::shared_ptr<server_exchange> client)
{
    auto exchange = std::make_shared<entry_exchange>(
        m_context, std::move(client),
        [this](entry_exchange& ended) { m_entry_requests.erase(ended.shared_from_this()); });
    m_entry_requests.insert(exchange);
    exchange->start();
}

void relay_node::accept_peer(std::shared_ptr<server_exchange> client)
{
    const auto& head = client->head();
    const auto text = http_head::find(head.fields, attempt_metadata::header);
    if (!text && head.target.rfind(peer_state_codec::path, 0) == 0) {
        m_sync.handle_request(client);
        return;
    }
    if (!text && head.target.rfind(plan_page_codec::path, 0) == 0) {
        m_sync.handle_page_request(client);
        return;
    }
    if (!text && head.target.rfind(departure_replicator::path, 0) == 0) {
        departure_replicator::handle(m_context, client,
                                     {[this](const auto& record) { merge_owners({record}); },
                                      [this](const auto& record, auto on_end) {
                                          m_dependencies.store.store_departure(record,
                                                                               std::move(on_end));
                                      }});
        return;
    }
    const auto query = http_head::find(head.fields, response_query::header);
    if (!text && query && head.target == response_query::path) {
        handle_response_query(client, *query);
        return;
    }
    auto metadata = relay_message_codec::decode_metadata(text.value_or(""));
    if (!metadata) {
        refuse_unreadable_message(*client);
        return;
    }
    m_sync.on_plan_reported(metadata->plan_version, metadata->entry_address);
    auto exchange = std::make_shared<owner_exchange>(
        m_context, std::move(client), std::move(*metadata), [this](owner_exchange& ended) {
            m_waiting_requests.erase(ended.ticket());
            m_owned_requests.erase(ended.shared_from_this());
        });
    m_owned_requests.insert(exchange);
    exchange->start();
    if (exchange->ticket() != 0 && m_owned_requests.count(exchange) > 0) {
        m_waiting_requests[exchange->ticket()] = exchange;
        refuse_unservable();
    }
}

void relay_node::handle_response_query(const std::shared_ptr<server_exchange>& client,
                                       std::string_view text)
{
    const auto query = relay_message_codec::decode_query(text);
    if (!query) {
        refuse_unreadable_message(*client);
        return;
    }
    response_query_handler::handle(m_context, client, *query);
}

void relay_node::on_health_reported(const std::string& address, const owner_health& health)
{
    m_context.ranking.record_health(address, health, m_context.now());
    m_health_reports.record_health(address, health);
}

void relay_node::refuse_unservable()
{
    for (const auto ticket : m_context.owned.take_unservable()) {
        const auto found = m_waiting_requests.find(ticket);
        if (const auto request =
                found == m_waiting_requests.end() ? nullptr : found->second.lock()) {
            request->refuse_as_unservable();
        }
    }
}

void relay_node::run_waiting()
{
    for (auto ticket = m_context.owned.next(); ticket; ticket = m_context.owned.next()) {
        const auto found = m_waiting_requests.find(*ticket);
        const auto request = found == m_waiting_requests.end() ? nullptr : found->second.lock();
        if (request) {
            request->run();
        }
        else {
            m_context.owned.finish({}, 0ms, run_outcome::inconclusive);
        }
    }
}

void relay_node::stop(std::function<void()> on_stopped)
{
    if (m_is_stopping) {
        return;
    }
    m_is_stopping = true;
    m_on_stopped = std::move(on_stopped);
    m_stopping_since = m_context.now();
    m_dependencies.loop.after(closing_delay, [this] { m_entry_server.start_closing(); });
    m_context.stopping.begin(m_stopping_since + min_stop_time,
                             m_stopping_since + m_settings.stop_time);
    m_context.owned.stop(m_context.stopping.starts_interruptible_until());
    on_health_reported(m_settings.location.address, owner_response_builder::health(m_context));
    m_dependencies.log.note_state("stopping",
                                  {{"entry_requests", std::to_string(m_entry_requests.size())},
                                   {"owner_requests", std::to_string(m_owned_requests.size())}});
    check_stopped();
}

void relay_node::check_stopped()
{
    const auto elapsed = m_context.now() - m_stopping_since;
    const bool is_over = elapsed >= m_settings.stop_time;
    if (is_over) {
        respond_to_unfinished();
    }
    const bool is_idle = m_entry_requests.empty() && m_owned_requests.empty();
    const bool may_end = is_over || (is_idle && elapsed >= min_stop_time);
    const bool has_waited = elapsed >= m_settings.stop_time + max_flush_time;
    if (may_end && (!has_pending_output() || has_waited)) {
        m_dependencies.log.note_state("stopped", {{"unfinished", std::to_string(m_unfinished)}});
        m_on_stopped();
        return;
    }
    m_dependencies.loop.after(stop_check_interval, [this] { check_stopped(); });
}

// A client that only sees its connection close cannot tell the outcome of its request, and neither
// can an entry.
void relay_node::respond_to_unfinished()
{
    m_unfinished = std::max(m_unfinished, m_entry_requests.size() + m_owned_requests.size());
    const auto unfinished = m_entry_requests;
    for (const auto& each : unfinished) {
        each->finish_now();
    }
    const auto interrupted = m_owned_requests;
    for (const auto& each : interrupted) {
        each->interrupt();
    }
}

bool relay_node::has_pending_output()
{
    return m_entry_server.has_unsent_bytes() || m_peer_server.has_unsent_bytes();
}

} // namespace galenaroad
