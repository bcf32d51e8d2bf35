#pragma once

#include "tests/support/history_recorder.h"
#include "tests/support/test_fleet.h"

#include <atomic>
#include <map>
#include <string>
#include <thread>
#include <vector>

namespace galenaroad {

/// Samples the daemons' configuration versions and the backend servers' counters and actions.
class fleet_watch {
public:
    /// @param fleet the fleet.
    /// @param daemons the daemons to sample.
    /// @param servers the backend servers to sample.
    /// @param recorder receives the samples.
    fleet_watch(const test_fleet& fleet, std::vector<std::string> daemons,
                std::vector<std::string> servers, history_recorder& recorder);
    fleet_watch(const fleet_watch&) = delete;
    fleet_watch& operator=(const fleet_watch&) = delete;
    fleet_watch(fleet_watch&&) = delete;
    fleet_watch& operator=(fleet_watch&&) = delete;
    ~fleet_watch() { stop(); }

    /// Starts one sampling thread for each process, so that a silent one delays no other.
    void start();
    /// Ends the sampling and records the runs of all actions.
    void stop();

private:
    template <typename Sample>
    void repeat(const Sample& sample);
    void sample_daemon(const std::string& daemon);
    void sample_server(const std::string& server);
    void record_runs();

    const test_fleet& m_fleet;
    std::vector<std::string> m_daemons;
    std::vector<std::string> m_servers;
    history_recorder& m_recorder;
    std::atomic<bool> m_stopping{false};
    std::vector<std::thread> m_threads;
    std::mutex m_mutex;
    std::map<std::string, nlohmann::json> m_actions; ///< Last list of each server.
};

} // namespace galenaroad
