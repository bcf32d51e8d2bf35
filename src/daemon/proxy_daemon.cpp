#include "daemon/proxy_daemon.h"

#include "daemon/handler_factory.h"
#include "peer/record_mapping.h"
#include "telemetry/structured_log.h"

#include <nlohmann/json.hpp>
#include <random>

namespace galenaroad {

namespace {

using namespace std::chrono_literals;

constexpr auto tick_interval = 100ms;
constexpr std::size_t max_peer_channels = 512;
constexpr std::size_t max_idle_backend_connections = 64;
// A join range is tried in full; larger ranges are sampled by their first addresses.
constexpr std::uint64_t max_join_addresses = 4096;

random_engine seeded_engine()
{
    std::random_device device;
    std::seed_seq seed{device(), device(), device(), device()};
    return random_engine(seed);
}

// Start time in milliseconds, then 16 random bits, so that two starts within a millisecond differ.
std::uint64_t new_incarnation(const clock& time)
{
    const auto since_epoch = time.system_now().time_since_epoch();
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count();
    constexpr unsigned random_bits = 16;
    return (static_cast<std::uint64_t>(ms) << random_bits) | (std::random_device{}() & 0xffffU);
}

} // namespace

proxy_daemon::proxy_daemon(daemon_settings settings,
                           std::vector<std::shared_ptr<const contract>> contracts)
    : m_settings(std::move(settings)),
      m_incarnation(new_incarnation(m_clock)),
      m_clients(max_peer_channels),
      m_backends(m_clock, max_idle_backend_connections),
      m_ids(seeded_engine()),
      m_fleet(own_record(), m_view),
      m_registry(m_settings.instance, m_clock),
      m_control(tick_interval, [this] { tick(); }),
      m_owner(make_owner_parts()),
      m_forwarder(make_entry_parts()),
      m_entry{m_clock, m_view, m_gate, m_ids, m_forwarder},
      m_admin(make_admin_actions()),
      m_peer_server(make_peer_handlers(), m_settings.workers.peer_threads),
      m_entry_listener(
          new handler_factory([this] { return std::make_unique<entry_handler>(m_entry); }),
          {m_settings.workers.entry_threads, m_settings.workers.max_queued_connections}),
      m_admin_listener(
          new handler_factory([this] { return std::make_unique<admin_handler>(m_admin); }),
          {m_settings.workers.admin_threads, m_settings.workers.max_queued_connections}),
      m_joiner(m_clients, m_view, join_addresses(), make_joiner_events(), seeded_engine())
{
    m_control.post([this, contracts = std::move(contracts)] { m_fleet.set_contracts(contracts); });
}

result<bound_addresses> proxy_daemon::start()
{
    auto bound = bind();
    if (!bound) {
        return bound;
    }
    m_control.run_and_wait([&] {
        m_fleet.set_address(bound->peer);
        m_fleet.publish();
    });
    m_joiner.start();
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
    m_control.run_and_wait([this] {
        m_fleet.start_leaving();
        m_fleet.publish();
    });
    m_joiner.notify_all();
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

instance proxy_daemon::own_record() const
{
    instance own;
    own.name = m_settings.instance;
    own.location = m_settings.location;
    own.incarnation = m_incarnation;
    return own;
}

owner_parts proxy_daemon::make_owner_parts()
{
    const auto version = [this](const std::string& business) {
        return m_view.load()->contract_version(business);
    };
    return {m_clock,     m_gate,        m_backends,
            m_upstreams, m_incarnation, [](const owner_observation&) {},
            version};
}

entry_parts proxy_daemon::make_entry_parts()
{
    return {m_clock, m_clients, m_watchdog, m_budgets, m_ids, [](const entry_observation&) {}};
}

peer_handlers proxy_daemon::make_peer_handlers()
{
    peer_handlers handlers;
    handlers.forward = [this](auto& context, auto& stream) { m_owner.handle(context, stream); };
    handlers.fence = [this](const auto& request) { return m_owner.fence(request); };
    handlers.synchronise = [this](const auto& request, const auto& write) {
        synchronise(request, write);
    };
    return handlers;
}

admin_actions proxy_daemon::make_admin_actions()
{
    admin_actions actions;
    actions.announce = [this](const auto& made) {
        m_control.run_and_wait([&] {
            if (m_registry.announce(made)) {
                publish_upstreams();
            }
        });
    };
    actions.withdraw = [this](const auto& name) {
        m_control.run_and_wait([&] {
            if (m_registry.withdraw(name)) {
                publish_upstreams();
            }
        });
        m_joiner.notify_all();
    };
    actions.metrics = [] { return std::string(); };
    actions.not_ready = [this]() -> std::string {
        return m_view.load()->contracts.empty() ? "No contract is in force yet" : "";
    };
    actions.fleet = [this] { return fleet_json(); };
    return actions;
}

peer_joiner::events proxy_daemon::make_joiner_events()
{
    peer_joiner::events events;
    events.received = [this](std::vector<instance> received) {
        m_control.post([this, received = std::move(received)] {
            for (const auto& other : received) {
                m_fleet.merge(other);
            }
            m_fleet.publish();
        });
    };
    events.unreachable = [this](const std::string& name, std::uint64_t incarnation) {
        m_control.post([this, name, incarnation] {
            m_fleet.remove(name, incarnation);
            m_fleet.publish();
        });
    };
    return events;
}

void proxy_daemon::synchronise(const peer::SynchroniseRequest& request,
                               const peer_handlers::synchronise_writer& write)
{
    const auto sender = record_mapping::to_instance(request.sender());
    m_control.post([this, sender] {
        m_fleet.merge(sender);
        m_fleet.publish();
    });
    peer::SynchroniseResponse response;
    for (const auto& known : m_view.load()->instances) {
        *response.add_members() = record_mapping::to_record(known);
    }
    write(response);
}

void proxy_daemon::tick()
{
    const auto expired = m_registry.expire();
    for (const auto& address : expired) {
        m_backends.forget(address);
    }
    if (!expired.empty()) {
        publish_upstreams();
    }
    m_fleet.publish();
}

void proxy_daemon::publish_upstreams()
{
    m_upstreams.publish(m_registry.snapshot());
    m_fleet.set_upstreams(m_registry.records());
    m_fleet.publish();
}

std::string proxy_daemon::fleet_json() const
{
    auto instances = nlohmann::json::array();
    for (const auto& each : m_view.load()->instances) {
        auto upstreams = nlohmann::json::array();
        for (const auto& announced : each.upstreams) {
            upstreams.push_back({{"name", announced.id.name},
                                 {"business", announced.service.business},
                                 {"service", announced.service.service},
                                 {"slots", announced.slots},
                                 {"state", static_cast<int>(announced.state)}});
        }
        instances.push_back({{"name", each.name},
                             {"peer", each.peer_address},
                             {"state", static_cast<int>(each.state)},
                             {"upstreams", upstreams}});
    }
    return nlohmann::json{{"instances", instances}}.dump();
}

std::vector<std::string> proxy_daemon::join_addresses() const
{
    std::vector<std::string> addresses;
    for (const auto& range : m_settings.join_ranges) {
        const auto count = std::min(range.size(), max_join_addresses);
        for (std::uint64_t index = 0; index < count; ++index) {
            addresses.push_back(range.at(index));
        }
    }
    return addresses;
}

} // namespace galenaroad
