#include "tests/support/fleet_watch.h"

namespace galenaroad {

namespace {

constexpr std::chrono::milliseconds sample_interval{150};

} // namespace

fleet_watch::fleet_watch(const test_fleet& fleet, std::vector<std::string> daemons,
                         std::vector<std::string> servers, history_recorder& recorder)
    : m_fleet(fleet),
      m_daemons(std::move(daemons)),
      m_servers(std::move(servers)),
      m_recorder(recorder)
{
}

template <typename Sample>
void fleet_watch::repeat(const Sample& sample)
{
    m_threads.emplace_back([this, sample] {
        while (!m_stopping) {
            sample();
            std::this_thread::sleep_for(sample_interval);
        }
        sample();
    });
}

void fleet_watch::start()
{
    for (const auto& daemon : m_daemons) {
        repeat([this, daemon] { sample_daemon(daemon); });
    }
    for (const auto& server : m_servers) {
        repeat([this, server] { sample_server(server); });
    }
}

void fleet_watch::stop()
{
    if (m_threads.empty()) {
        return;
    }
    m_stopping = true;
    for (auto& thread : m_threads) {
        thread.join();
    }
    m_threads.clear();
    record_runs();
}

// The time is taken before the request: a stopped process answers with what it knew earlier.
void fleet_watch::sample_daemon(const std::string& daemon)
{
    const auto seen = m_recorder.now();
    const auto answer =
        test_fleet::send_to(m_fleet.address(daemon, "admin"), {"GET", "/v1/fleet"}).json();
    if (!answer.is_object() || !answer.contains("contracts")) {
        return;
    }
    const auto version = answer["contracts"].value("tetteh", std::int64_t{0});
    m_recorder.record([&](fleet_history& history) {
        history.versions.push_back({daemon, version, seen});
    });
}

void fleet_watch::sample_server(const std::string& server)
{
    const auto address = m_fleet.address(server, "address");
    const auto seen = m_recorder.now();
    const auto counters = test_fleet::send_to(address, {"GET", "/_counters"}).json();
    if (counters.is_object()) {
        const auto started = counters.value("started", std::int64_t{0});
        m_recorder.record([&](fleet_history& history) {
            history.started.push_back({server, started, seen});
        });
    }
    const auto actions = test_fleet::send_to(address, {"GET", "/_actions"}).json();
    if (actions.is_array()) {
        const std::lock_guard lock(m_mutex);
        m_actions[server] = actions;
    }
}

void fleet_watch::record_runs()
{
    m_recorder.record([&](fleet_history& history) {
        for (const auto& [server, actions] : m_actions) {
            for (const auto& action : actions) {
                history.runs.push_back(
                    {server, action.value("idempotency_key", ""), action.value("request_id", "")});
            }
        }
    });
}

} // namespace galenaroad
