#include "tests/support/faulty_fleet.h"

#include <csignal>
#include <stdexcept>

namespace galenaroad {

namespace {

using namespace std::chrono_literals;

constexpr auto time_before = 1000ms;
/// Longer than the 3 s of suspicion after at most 1 s until the next ping.
constexpr auto time_with_faults = 5500ms;
constexpr auto time_after = 3500ms;
constexpr history_time forever{1'000'000'000};

const std::vector<std::string> daemons{"ash-a", "ash-b", "gac-a", "gac-b"};
/// Backend servers; each runs beside the daemon of the same position, counted again from the first.
const std::vector<std::string> servers{"finder-1", "finder-2",  "orders-1",
                                       "orders-2", "manuals-1", "manuals-2"};
/// Announced by the test itself, so that it can leave and stay alive to be watched.
const std::string spare = "finder-3";
const std::string spare_daemon = daemons.back();

std::vector<std::string> with_spare()
{
    auto all = servers;
    all.push_back(spare);
    return all;
}

std::string contract_text(int finder_timeout_ms)
{
    return R"(business: tetteh
hosts: [tetteh.example]
services:
  - {name: finder, floor_slots: 7, policy: fast}
  - {name: orders, floor_slots: 7, policy: fast}
  - {name: manuals, floor_slots: 7, policy: fast}
routes:
  - {prefix: /orders, service: orders, class: action, once: true, timeout_ms: 3000}
  - {prefix: /manuals, service: manuals, class: transfer, timeout_ms: 30000}
  - {prefix: /finder, service: finder, timeout_ms: )" +
           std::to_string(finder_timeout_ms) + "}\n";
}

} // namespace

faulty_fleet::faulty_fleet(const fault_plan& plan)
    : m_plan(plan),
      m_engine(plan.seed),
      m_fleet(contract_text(2000)),
      m_watch(m_fleet, daemons, with_spare(), m_recorder),
      m_callers(m_fleet, daemons, m_recorder)
{
    start_processes();
    wait_until_served();
}

const fleet_history& faulty_fleet::run()
{
    const auto start = std::chrono::steady_clock::now();
    m_watch.start();
    m_callers.start(m_plan.seed);
    std::this_thread::sleep_for(time_before);
    for (const auto fault : m_plan.faults) {
        inject(fault);
    }
    change_contract();
    while (std::chrono::steady_clock::now() < start + time_before + time_with_faults) {
        if (m_faulty.count(spare) == 0 && m_picked.count(spare_daemon) == 0) {
            announce_spare();
        }
        std::this_thread::sleep_for(500ms);
    }
    heal();
    std::this_thread::sleep_for(time_after);
    m_callers.stop();
    m_watch.stop();
    return m_recorder.history();
}

std::string faulty_fleet::ended_daemons()
{
    std::string result;
    for (const auto& name : daemons) {
        if (const auto code = m_fleet.process(name).exit_code()) {
            result += name + " has ended with " + std::to_string(*code) + '\n';
        }
    }
    return result;
}

void faulty_fleet::start_processes()
{
    m_fleet.start_stores();
    for (const auto& name : daemons) {
        m_fleet.start_daemon(name, name.substr(0, 3));
    }
    if (m_fleet.apply(contract_text(2000), daemons.front()) != 0) {
        throw std::runtime_error("the contract was not accepted");
    }
    for (std::size_t i = 0; i < servers.size(); ++i) {
        const auto service = servers[i].substr(0, servers[i].size() - 2);
        m_fleet.start_backend(servers[i], service, daemons[i % daemons.size()]);
    }
    m_fleet.start_backend(spare, "finder", spare_daemon, {"--admin", "127.0.0.1:9"});
    announce_spare();
}

void faulty_fleet::wait_until_served() const
{
    for (const auto& daemon : daemons) {
        for (const auto* const target : {"/finder?q=a", "/manuals?bytes=10", "/orders?q=a"}) {
            const auto is_served = [&] {
                return m_fleet.send(daemon, {"GET", target}).status == 200;
            };
            if (!test_fleet::wait_until(is_served, 20s)) {
                throw std::runtime_error(daemon + " does not serve " + target + ": " +
                                         m_fleet.send(daemon, {"GET", target}).body);
            }
        }
    }
}

void faulty_fleet::inject(process_fault fault)
{
    switch (fault) {
    case process_fault::daemon_killed:
        return kill_daemon(pick(daemons));
    case process_fault::daemon_frozen:
        return freeze(pick(daemons));
    case process_fault::daemon_stopped:
        return stop_daemon(pick(daemons));
    case process_fault::server_killed:
        return m_fleet.process(pick(servers)).signal(SIGKILL);
    case process_fault::server_leaving:
        return withdraw_spare();
    case process_fault::server_silent:
        return set_fault(pick(servers), R"({"silent": true})");
    case process_fault::server_slow:
        return set_fault(pick(servers), R"({"extra_latency_ms": 1000})");
    case process_fault::server_failing:
        return set_fault(pick(servers), R"({"failure_share": 0.5})");
    case process_fault::server_truncating:
        return set_fault(pick(servers), R"({"truncate": true})");
    case process_fault::store_unavailable:
        return set_fault("table", R"({"unavailable": true})");
    case process_fault::store_slow:
        return set_fault("table", R"({"latency_ms": 700})");
    case process_fault::store_losing_responses:
        return set_fault("table", R"({"lost_responses": 0.3})");
    }
}

void faulty_fleet::set_fault(const std::string& name, const std::string& text)
{
    test_fleet::send_to(m_fleet.address(name, "address"), {"PUT", "/_faults", text});
    m_faulty.insert(name);
}

void faulty_fleet::kill_daemon(const std::string& daemon)
{
    m_recorder.record([&](fleet_history& history) {
        history.outages.push_back({daemon, m_recorder.now(), forever});
    });
    m_fleet.process(daemon).signal(SIGKILL);
}

void faulty_fleet::freeze(const std::string& daemon)
{
    m_recorder.record([&](fleet_history& history) {
        history.outages.push_back({daemon, m_recorder.now(), forever});
    });
    m_frozen = daemon;
    m_fleet.process(daemon).signal(SIGSTOP);
}

// The listener closes while the last requests end: calls sent after the signal may be refused a
// connection. The calls in flight have a rule of their own.
void faulty_fleet::stop_daemon(const std::string& daemon)
{
    const auto signalled = m_recorder.now();
    m_fleet.process(daemon).terminate();
    const int exit_code = m_fleet.process(daemon).wait();
    m_recorder.record([&](fleet_history& history) {
        history.stops.push_back({daemon, signalled, exit_code});
        history.outages.push_back({daemon, signalled, forever});
    });
}

void faulty_fleet::announce_spare() const
{
    const nlohmann::json body{{"business", "tetteh"},
                              {"service", "finder"},
                              {"address", m_fleet.address(spare, "address")},
                              {"slots", 7},
                              {"connections", 330}};
    test_fleet::send_to(m_fleet.address(spare_daemon, "admin"),
                        {"PUT", "/v1/upstreams/" + spare, body.dump()});
}

void faulty_fleet::withdraw_spare()
{
    m_faulty.insert(spare);
    const auto announced = m_recorder.now();
    test_fleet::send_to(m_fleet.address(spare_daemon, "admin"),
                        {"DELETE", "/v1/upstreams/" + spare});
    m_recorder.record([&](fleet_history& history) {
        history.leaves.push_back({spare, announced});
    });
}

// Without the table service the change is refused, and nothing is recorded.
void faulty_fleet::change_contract()
{
    if (m_fleet.apply(contract_text(2500), daemons.front()) != 0) {
        return;
    }
    const auto accepted = m_recorder.now();
    const auto row = test_fleet::send_to(m_fleet.address("table", "address"),
                                         {"GET", "/tables/contracts/rows/tetteh"})
                         .json();
    if (row.is_object()) {
        const auto version = row.value("version", std::int64_t{0});
        m_recorder.record([&](fleet_history& history) {
            history.accepts.push_back({version, accepted});
        });
    }
}

void faulty_fleet::heal()
{
    m_faulty.erase(spare);
    for (const auto& name : m_faulty) {
        const auto* const text =
            name == "table"
                ? R"({"unavailable": false, "latency_ms": 0, "lost_responses": 0})"
                : R"({"silent": false, "extra_latency_ms": 0, "failure_share": 0, "truncate": false})";
        test_fleet::send_to(m_fleet.address(name, "address"), {"PUT", "/_faults", text});
    }
    if (m_frozen.empty()) {
        return;
    }
    m_fleet.process(m_frozen).signal(SIGCONT);
    m_recorder.record([&](fleet_history& history) {
        for (auto& outage : history.outages) {
            if (outage.daemon == m_frozen) {
                outage.until = m_recorder.now();
            }
        }
    });
}

std::string faulty_fleet::pick(const std::vector<std::string>& names)
{
    for (;;) {
        const auto& name = names[m_engine() % names.size()];
        if (m_picked.insert(name).second) {
            return name;
        }
    }
}

} // namespace galenaroad
