#include "relay/relay_node.h"

#include "base/unix_time.h"
#include "relay/answer_query_handler.h"
#include "relay/owner_response_builder.h"
#include "relay/peer_state.h"

#include <Poco/Net/HTTPResponse.h>
#include <algorithm>

namespace galenaroad {

namespace {

using namespace std::chrono_literals;

// Names the store where the address of a peer would stand.
constexpr const char* store_source = "store";
// A change is kept in the store before it is acknowledged, unless the store takes longer.
constexpr auto longest_acknowledgement_wait = 600ms;
// Clocks of instances differ by seconds, and jump by seconds.
constexpr auto longest_clock_lead = std::chrono::hours(24);
// Clients are told by the readiness check, which asks once a second and counts two misses.
constexpr auto least_stop_time = 2500ms;
constexpr auto stop_check_interval = 50ms;
// Answers that are given at the end of the stop time leave within it, or not at all.
constexpr auto longest_flush = 200ms;
// Requests that cross the closing of their connection are not sent again by everyone, so the
// clients' connections stay open until they have been told.
constexpr auto closing_delay = 1500ms;
// An entry daemon holds the whole body before it offers it, so only its connection can be slow.
constexpr auto longest_body_pause = 1500ms;
// Multiple of the first delay after which a daemon without an upstream asks as well.
constexpr int delays_without_heartbeat = 3;
// Faults of one plan that are logged one by one.
constexpr std::size_t max_noted_plan_faults = 20;

bool has_same_content(const owner_record& a, const owner_record& b)
{
    return a.address == b.address && a.data_centre == b.data_centre && a.region == b.region &&
           a.upstream_id == b.upstream_id && a.service == b.service && a.state == b.state &&
           a.born_ms == b.born_ms;
}

server_limits limits_for(const client_limits& limits, const relay_settings& settings)
{
    server_limits made;
    made.max_buffered_bytes = settings.max_body_memory;
    made.max_head_bytes = limits.max_head_bytes;
    made.max_body_bytes = limits.max_body_bytes;
    made.head_timeout = limits.head_timeout;
    made.idle_timeout = limits.idle_timeout;
    made.max_connections = settings.max_connections;
    return made;
}

// Peers add a field to the head, and keep their connections idle for longer than clients.
server_limits peer_limits(const relay_settings& settings)
{
    server_limits made;
    made.max_buffered_bytes = settings.max_body_memory;
    made.body_timeout = longest_body_pause;
    made.max_head_bytes = std::size_t{64} * 1024;
    made.idle_timeout = 60s;
    made.max_connections = settings.max_connections;
    return made;
}

// For messages of another version of the fleet's protocol.
void refuse_message(server_exchange& client)
{
    http_response_head refusal;
    refusal.status = Poco::Net::HTTPResponse::HTTP_BAD_REQUEST;
    client.respond(std::move(refusal), {});
}

// The start value is drawn at random, so that an earlier start of this daemon has not used the ids.
std::function<std::string()> make_attempt_ids(std::uint64_t start)
{
    return [next = start]() mutable { return std::to_string(next++); };
}

} // namespace

relay_node::relay_node(relay_parts parts, relay_settings settings, random_engine random)
    : m_parts(std::move(parts)),
      m_settings(std::move(settings)),
      m_metrics(m_parts.metrics),
      m_peer_client(m_parts.loop),
      m_upstream_client(m_parts.loop),
      m_context{m_parts.loop,
                m_peer_client,
                m_upstream_client,
                m_parts.log,
                m_metrics,
                m_settings.names,
                m_settings.location,
                {},
                owner_ranking(m_settings.location, random_engine(random())),
                {},
                owned_upstream(m_parts.loop.time(), m_settings.retries),
                answer_store(m_parts.loop.time(), random_engine(random())),
                {},
                make_attempt_ids(random()),
                m_settings.own_service,
                nullptr,
                0,
                {},
                {},
                {},
                [this](std::uint64_t version, const std::string& address) {
                    m_sync.heard_plan(version, address);
                },
                [this](const auto& address, const auto& condition) {
                    take_condition(address, condition);
                },
                [this] { run_waiting(); }},
      m_sync(m_context, make_sync_hooks(), random_engine(random())),
      m_conditions(m_context, random_engine(random())),
      m_entry_server(m_parts.loop, limits_for({}, m_settings),
                     [this](auto client) { accept_client(std::move(client)); }),
      m_peer_server(m_parts.loop, peer_limits(m_settings),
                    [this](auto client) { accept_peer(std::move(client)); })
{
}

peer_sync::hooks relay_node::make_sync_hooks()
{
    peer_sync::hooks hooks;
    hooks.plan = [this](plan_document document, const std::string& peer) {
        take_plan(std::move(document), peer);
    };
    hooks.owners = [this](const auto& records) { take_owners(records); };
    hooks.owners_complete = [this] { note_all_owners(); };
    hooks.follow_store = [this](bool follows) {
        m_is_store_listed = false;
        m_parts.store.follow(follows);
    };
    hooks.watch_store_closely = [this](bool closely) { m_parts.store.watch_closely(closely); };
    hooks.has_store = [this] {
        return m_parts.store.tells_plan() && m_is_store_listed && m_context.plan;
    };
    hooks.is_complete = [this] { return m_owners_listed; };
    hooks.document = [this]() -> const plan_document& { return m_document; };
    return hooks;
}

void relay_node::start()
{
    m_peer_server.defer_bodies();
    const auto& listen = m_settings.listen_address;
    m_peer_server.listen(listen.empty() ? m_settings.location.address : listen);
    m_entry_server.listen(m_settings.entry_address);
    m_conditions.start(listen.empty() ? m_settings.location.address : listen);
    follow_store();
    m_sync.start();
    m_parts.log.note_state(
        "started", {{"address", m_settings.location.address}, {"service", m_settings.own_service}});
}

void relay_node::follow_store()
{
    fleet_store::hooks hooks;
    hooks.plan = [this](plan_document document) { take_plan(std::move(document), store_source); };
    hooks.owners = [this](const auto& records) { take_owners(records); };
    hooks.owner_removed = [this](const std::string& address) {
        if (address != m_settings.location.address) {
            m_context.directory.remove(address);
        }
    };
    hooks.neighbours_listed = [this] {
        m_sync.note_neighbours();
        publish();
    };
    hooks.owners_listed = [this] {
        m_is_store_listed = true;
        note_all_owners();
    };
    hooks.published = [this](std::uint64_t revision) { acknowledge_up_to(revision); };
    hooks.tells_plan_changed = [this] { m_sync.note_store_change(); };
    m_parts.store.start(std::move(hooks));
    list_neighbours_after(m_settings.first_list_delay * delays_without_heartbeat);
}

void relay_node::list_neighbours_after(std::chrono::milliseconds delay)
{
    const auto list = [this] {
        if (!m_asks_for_neighbours && !m_owners_listed) {
            m_asks_for_neighbours = true;
            m_parts.store.list_neighbours();
        }
    };
    if (delay == 0ms) {
        list();
        return;
    }
    m_parts.loop.after(delay, list);
}

void relay_node::note_all_owners()
{
    if (m_owners_listed) {
        return;
    }
    m_owners_listed = true;
    m_sync.note_neighbours();
    publish();
}

bool relay_node::is_ready() const
{
    return m_context.plan && m_owners_listed && !m_is_stopping;
}

void relay_node::take_plan(plan_document document, const std::string& source)
{
    if (document.version <= std::max(m_document.version, m_context.unreadable_plan_version)) {
        return;
    }
    auto decoded = m_parts.decode_plan(document);
    if (!decoded) {
        m_context.unreadable_plan_version = document.version;
        m_metrics.note_unreadable_plan();
        m_parts.log.note_state("plan_unreadable", {{"version", std::to_string(document.version)},
                                                   {"error", decoded.error()}});
        return;
    }
    note_plan_faults(*decoded);
    m_entry_server.set_limits(limits_for(decoded->limits, m_settings));
    m_context.plan = std::make_shared<plan_index>(std::move(*decoded));
    m_parts.log.note_state("plan_in_force",
                           {{"version", std::to_string(document.version)},
                            {"replaces", std::to_string(m_document.version)},
                            {"from", source},
                            {"routes", std::to_string(m_context.plan->plan().routes.size())}});
    const bool had_plan = m_document.version > 0;
    m_document = std::move(document);
    const bool is_from_store = source == store_source;
    m_metrics.note_plan(m_document.version, is_from_store ? "store" : "peer");
    m_sync.note_change();
    if (had_plan) {
        m_sync.note_newer_plan(is_from_store ? "" : source);
    }
}

void relay_node::note_plan_faults(const routing_plan& plan)
{
    m_metrics.note_plan_faults(plan.faults.size());
    const auto noted = std::min(plan.faults.size(), max_noted_plan_faults);
    for (std::size_t each = 0; each < noted; ++each) {
        m_parts.log.note_state("plan_fault", {{"version", std::to_string(plan.version)},
                                              {"part", plan.faults[each].part},
                                              {"error", plan.faults[each].error}});
    }
    if (noted < plan.faults.size()) {
        m_parts.log.note_state("plan_faults_not_listed",
                               {{"version", std::to_string(plan.version)},
                                {"count", std::to_string(plan.faults.size() - noted)}});
    }
}

void relay_node::take_owners(const std::vector<owner_record>& records)
{
    for (const auto& record : records) {
        if (is_from_future(record.revision) || is_from_future(record.born_ms)) {
            m_parts.log.note_state("owner_record_refused",
                                   {{"owner", record.address},
                                    {"revision", std::to_string(record.revision)},
                                    {"born_ms", std::to_string(record.born_ms)}});
            continue;
        }
        const bool is_own = record.address == m_settings.location.address;
        if (is_own && record.revision > m_published.revision) {
            m_context.owned.restore(record);
            m_published.revision = record.revision;
        }
        if (m_context.directory.merge(record)) {
            m_parts.log.note("owner_record", {},
                             {{"owner", record.address},
                              {"upstream", record.upstream_id},
                              {"service", record.service},
                              {"state", std::to_string(static_cast<int>(record.state))},
                              {"revision", std::to_string(record.revision)}});
        }
    }
    m_sync.note_change();
}

// Revisions and start times are times of day. One that no clock shows yet is a foreign writer's,
// and no later record of the owner would replace it.
bool relay_node::is_from_future(std::uint64_t time_ms) const
{
    return time_ms > unix_ms(m_parts.loop.time().system_now() + longest_clock_lead);
}

void relay_node::publish()
{
    const auto& lifecycle = m_context.owned.lifecycle();
    if (lifecycle.state() == announced_state::none) {
        return;
    }
    owner_record record;
    record.address = m_settings.location.address;
    record.data_centre = m_settings.location.data_centre;
    record.region = m_settings.location.region;
    record.upstream_id = lifecycle.latest().id;
    record.service = lifecycle.latest().service;
    record.state = lifecycle.state();
    record.born_ms = lifecycle.latest().born_ms;
    record.sequence = lifecycle.latest().sequence;
    const auto* const held = m_context.directory.find(record.address);
    if (held != nullptr && has_same_content(*held, record)) {
        return;
    }
    const auto now = unix_ms(m_parts.loop.time().system_now());
    // The time of day may step back; the revision never does.
    record.revision = std::max(m_published.revision + 1, now);
    m_published = record;
    m_context.directory.merge(record);
    m_parts.store.publish(record);
    m_sync.note_change();
}

void relay_node::note_heartbeat(const upstream_heartbeat& beat, std::function<void()> acknowledge)
{
    if (!m_has_heartbeat) {
        m_has_heartbeat = true;
        list_neighbours_after(m_settings.first_list_delay);
    }
    if (is_from_future(beat.born_ms)) {
        m_parts.log.note_state("heartbeat_from_future",
                               {{"upstream", beat.id}, {"born_ms", std::to_string(beat.born_ms)}});
        acknowledge();
        return;
    }
    const auto change = m_context.owned.on_heartbeat(beat);
    acknowledge_change(change, std::move(acknowledge));
}

void relay_node::note_departure(const std::string& id, std::function<void()> acknowledge)
{
    acknowledge_change(m_context.owned.on_departure(id), std::move(acknowledge));
}

void relay_node::acknowledge_change(lifecycle_change change, std::function<void()> acknowledge)
{
    if (change == lifecycle_change::none || change == lifecycle_change::stale) {
        acknowledge();
        return;
    }
    const auto& latest = m_context.owned.lifecycle().latest();
    m_parts.log.note_state("upstream_changed",
                           {{"upstream", latest.id},
                            {"service", latest.service},
                            {"change", std::to_string(static_cast<int>(change))},
                            {"sequence", std::to_string(latest.sequence)},
                            {"born_ms", std::to_string(latest.born_ms)}});
    const auto before = m_published.revision;
    publish();
    const bool leaves = change == lifecycle_change::draining || change == lifecycle_change::left;
    if (!leaves || m_published.revision == before) {
        acknowledge();
        return;
    }
    const auto revision = m_published.revision;
    const auto timer = m_parts.loop.after(longest_acknowledgement_wait,
                                          [this, revision] { acknowledge_up_to(revision); });
    m_acknowledgements.push_back({revision, std::move(acknowledge), timer});
}

void relay_node::acknowledge_up_to(std::uint64_t revision)
{
    std::vector<waiting_acknowledgement> due;
    auto kept = m_acknowledgements;
    m_acknowledgements.clear();
    for (auto& each : kept) {
        (each.revision <= revision ? due : m_acknowledgements).push_back(std::move(each));
    }
    for (const auto& each : due) {
        m_parts.loop.cancel(each.timer);
        each.acknowledge();
    }
}

void relay_node::accept_client(std::shared_ptr<server_exchange> client)
{
    auto made = std::make_shared<entry_exchange>(
        m_context, std::move(client),
        [this](entry_exchange& ended) { m_entries.erase(ended.shared_from_this()); });
    m_entries.insert(made);
    made->start();
}

void relay_node::accept_peer(std::shared_ptr<server_exchange> client)
{
    const auto& head = client->head();
    const auto text = http_head::find(head.fields, relay_order::header);
    if (!text && head.target.rfind(peer_state_codec::path, 0) == 0) {
        m_sync.answer(client);
        return;
    }
    const auto query = http_head::find(head.fields, answer_query::header);
    if (!text && query && head.target == answer_query::path) {
        take_query(client, *query);
        return;
    }
    auto order = relay_message::decode_order(text.value_or(""));
    if (!order) {
        refuse_message(*client);
        return;
    }
    m_sync.heard_plan(order->plan_version, order->entry_address);
    auto made = std::make_shared<owner_exchange>(
        m_context, std::move(client), std::move(*order), [this](owner_exchange& ended) {
            m_waiting.erase(ended.ticket());
            m_owned_requests.erase(ended.shared_from_this());
        });
    m_owned_requests.insert(made);
    made->start();
    if (made->ticket() != 0 && m_owned_requests.count(made) > 0) {
        m_waiting[made->ticket()] = made;
        refuse_hopeless();
    }
}

void relay_node::take_query(const std::shared_ptr<server_exchange>& client, std::string_view text)
{
    const auto query = relay_message::decode_query(text);
    if (!query) {
        refuse_message(*client);
        return;
    }
    answer_query_handler::handle(m_context, client, *query);
}

void relay_node::take_condition(const std::string& address, const owner_health& condition)
{
    m_context.ranking.record_health(address, condition, m_context.now());
    m_conditions.note(address, condition);
}

void relay_node::refuse_hopeless()
{
    for (const auto ticket : m_context.owned.take_unservable()) {
        const auto found = m_waiting.find(ticket);
        if (const auto request = found == m_waiting.end() ? nullptr : found->second.lock()) {
            request->refuse_as_unservable();
        }
    }
}

void relay_node::run_waiting()
{
    for (auto ticket = m_context.owned.next(); ticket; ticket = m_context.owned.next()) {
        const auto found = m_waiting.find(*ticket);
        const auto request = found == m_waiting.end() ? nullptr : found->second.lock();
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
    m_context.owned.stop();
    take_condition(m_settings.location.address, owner_response_builder::health(m_context));
    m_parts.loop.after(closing_delay, [this] { m_entry_server.start_closing(); });
    // Until then clients have not been told to go elsewhere, and their requests are served as far
    // as time allows.
    m_parts.loop.after(least_stop_time,
                       [this] { m_context.ends_at = m_stopping_since + m_settings.stop_time; });
    m_parts.log.note_state("stopping",
                           {{"entry_requests", std::to_string(m_entries.size())},
                            {"owner_requests", std::to_string(m_owned_requests.size())}});
    check_stopped();
}

void relay_node::check_stopped()
{
    const auto elapsed = m_context.now() - m_stopping_since;
    const bool is_over = elapsed >= m_settings.stop_time;
    if (is_over) {
        answer_unfinished();
    }
    const bool is_idle = m_entries.empty() && m_owned_requests.empty();
    const bool may_end = is_over || (is_idle && elapsed >= least_stop_time);
    const bool has_waited = elapsed >= m_settings.stop_time + longest_flush;
    if (may_end && (!has_output() || has_waited)) {
        m_parts.log.note_state("stopped", {{"unfinished", std::to_string(m_unfinished)}});
        m_on_stopped();
        return;
    }
    m_parts.loop.after(stop_check_interval, [this] { check_stopped(); });
}

// A client that only sees its connection close cannot tell what became of its request.
void relay_node::answer_unfinished()
{
    m_unfinished = std::max(m_unfinished, m_entries.size() + m_owned_requests.size());
    const auto unfinished = m_entries;
    for (const auto& each : unfinished) {
        each->finish_now();
    }
}

bool relay_node::has_output()
{
    return m_entry_server.has_output() || m_peer_server.has_output();
}

} // namespace galenaroad
