#include "daemon/proxy_daemon.h"

#include "daemon/fleet_report.h"
#include "daemon/handler_factory.h"
#include "daemon/observation_mapping.h"
#include "telemetry/structured_log.h"

#include <Poco/Net/SocketAddress.h>
#include <random>
#include <thread>

namespace galenaroad {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t max_peer_channels = 512;
constexpr std::size_t max_idle_backend_connections = 64;

random_engine seeded_engine()
{
    std::random_device device;
    std::seed_seq seed{device(), device(), device(), device()};
    return random_engine(seed);
}

store_endpoint endpoint_of(const std::string& address)
{
    const Poco::Net::SocketAddress parsed(address);
    store_endpoint made;
    made.host = parsed.host().toString();
    made.port = parsed.port();
    return made;
}

} // namespace

proxy_daemon::proxy_daemon(daemon_settings settings,
                           std::vector<std::shared_ptr<const contract>> contracts)
    : m_settings(std::move(settings)),
      m_tables(endpoint_of(m_settings.table_service_address), m_clock),
      m_objects(endpoint_of(m_settings.object_store_address), m_clock),
      m_clients(max_peer_channels),
      m_backends(m_clock, max_idle_backend_connections),
      m_ids(seeded_engine()),
      m_spans(m_settings.spans_file, "galenaroadd", m_settings.instance),
      m_telemetry(m_spans, m_metrics, m_clock, m_ids),
      m_owner(make_owner_parts()),
      m_forwarder(make_entry_parts()),
      m_action_forwarder(
          m_forwarder, [this] { return std::atomic_load(&m_actions); }, m_clock),
      m_issued_actions(m_clock, m_gate, m_published.view, m_action_forwarder),
      m_entry(make_entry_context()),
      m_admin(make_admin_actions()),
      m_control(make_control_parts(), std::move(contracts), seeded_engine()),
      m_peer_server(make_peer_handlers(), m_settings.workers.peer_threads),
      m_entry_listener(
          new handler_factory([this] { return std::make_unique<entry_handler>(m_entry); }),
          {m_settings.workers.entry_threads, m_settings.workers.max_queued_connections}),
      m_admin_listener(
          new handler_factory([this] { return std::make_unique<admin_handler>(m_admin); }),
          {m_settings.workers.admin_threads, m_settings.workers.max_queued_connections})
{
}

result<bound_addresses> proxy_daemon::start()
{
    auto bound = bind();
    if (!bound) {
        return bound;
    }
    structured_log::info("Daemon is listening",
                         {{"entry", bound->entry}, {"peer", bound->peer}, {"admin", bound->admin}});
    return bound;
}

result<bound_addresses> proxy_daemon::bind()
{
    bound_addresses bound;
    const auto peer = m_peer_server.start(m_settings.peer_address);
    if (!peer) {
        return tl::make_unexpected(peer.error());
    }
    if (const auto failed = m_control.start(*peer)) {
        return tl::make_unexpected(failed);
    }
    m_peer_address = *peer;
    follow_incarnation();
    const auto admin = m_admin_listener.start(m_settings.admin_address);
    if (!admin) {
        return tl::make_unexpected(admin.error());
    }
    const auto entry = m_entry_listener.start(m_settings.entry_address);
    if (!entry) {
        return tl::make_unexpected(entry.error());
    }
    bound.peer = *peer;
    bound.admin = *admin;
    bound.entry = *entry;
    return bound;
}

void proxy_daemon::shut_down()
{
    const auto start = m_clock.steady_now();
    m_gate.start_leaving();
    m_control.leave();
    structured_log::info("Daemon is leaving");
    while (!m_gate.wait_idle(1s) || m_clock.steady_now() < start + notice_time) {
        std::this_thread::sleep_for(10ms);
    }
    m_entry_listener.stop();
    m_admin_listener.stop();
    m_peer_server.stop(1s);
    m_control.stop();
    structured_log::info("Daemon has finished all work");
}

control_shell::parts proxy_daemon::make_control_parts()
{
    return {m_settings,
            m_clock,
            m_clients,
            m_tables,
            m_objects,
            m_published,
            [this](const std::string& address) { m_backends.forget(address); },
            [this] { store_round(); },
            m_open};
}

entry_context proxy_daemon::make_entry_context()
{
    return {m_clock,
            m_published.view,
            m_gate,
            m_ids,
            m_action_forwarder,
            m_telemetry,
            [this]() -> result<std::string> {
                const auto actions = std::atomic_load(&m_actions);
                if (!actions) {
                    return tl::make_unexpected(make_error_code(error_kind::internal));
                }
                return actions->issue_key();
            }};
}

// The incarnation can rise until the daemon has joined; keys of the earlier one are then unknown.
void proxy_daemon::follow_incarnation()
{
    const auto held = std::atomic_load(&m_actions);
    const auto incarnation = m_published.incarnation.load();
    if (held && held->incarnation() == incarnation) {
        return;
    }
    const daemon_identity identity{m_settings.instance, m_peer_address, incarnation};
    std::atomic_store(&m_actions,
                      std::make_shared<action_services>(identity, m_tables, m_objects, m_clock,
                                                        m_published.view, seeded_engine()));
}

void proxy_daemon::store_round()
{
    if (const auto actions = std::atomic_load(&m_actions)) {
        follow_incarnation();
        actions->retry_pending();
    }
}

owner_parts proxy_daemon::make_owner_parts()
{
    return {m_clock,
            m_gate,
            m_backends,
            m_published.upstreams,
            m_published.incarnation,
            m_telemetry,
            [this](const owner_observation& seen) {
                m_control.observe(observation_mapping::from_owner(seen, m_settings.instance,
                                                                  m_clock.steady_now()));
            },
            [this](const std::string& business) {
                return m_published.view.load()->contract_version(business);
            },
            [this](const std::string& upstream) {
                const auto reports = m_published.reports.load();
                const auto found = reports->find(upstream);
                return found == reports->end() ? owner_assessment{} : found->second;
            },
            m_open,
            m_settings.instance};
}

entry_parts proxy_daemon::make_entry_parts()
{
    return {m_clock,
            m_clients,
            m_watchdog,
            m_budgets,
            m_ids,
            [this](const entry_observation& seen) {
                m_control.observe(observation_mapping::from_entry(seen, m_clock.steady_now()));
            },
            m_open,
            [this](const contract_head& head, const std::string& address) {
                m_control.heard(head, address);
            }};
}

peer_handlers proxy_daemon::make_peer_handlers()
{
    peer_handlers handlers;
    handlers.forward = [this](auto& context, auto& stream) { m_owner.handle(context, stream); };
    handlers.issued_action = [this](auto& /*context*/, auto& stream) {
        m_issued_actions.handle(stream);
    };
    handlers.fence = [this](const auto& request) { return m_owner.fence(request); };
    m_control.add_handlers(handlers);
    return handlers;
}

admin_actions proxy_daemon::make_admin_actions()
{
    admin_actions actions;
    actions.announce = [this](const auto& made) { m_control.announce(made); };
    actions.drain = [this](const auto& service, const auto& upstream, bool is_drained) {
        return m_control.drain(service, upstream, is_drained);
    };
    actions.contract_accepted = [this] { m_control.notify_accepted(); };
    actions.withdraw = [this](const auto& name) { m_control.withdraw(name); };
    actions.metrics = [this] { return m_metrics.text(); };
    actions.not_ready = [this]() -> std::string {
        return m_published.view.load()->ready ? "" : "No configuration is in force yet";
    };
    actions.fleet = [this] { return fleet_report(*m_published.view.load()); };
    return actions;
}

} // namespace galenaroad
