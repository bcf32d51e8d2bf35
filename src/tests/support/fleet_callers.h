#pragma once

#include "base/random_engine.h"
#include "tests/support/history_recorder.h"
#include "tests/support/test_fleet.h"

#include <atomic>
#include <string>
#include <thread>
#include <vector>

namespace galenaroad {

/// Sends searches, downloads and orders to a fleet from several threads and records the results.
class fleet_callers {
public:
    /// @param fleet the fleet.
    /// @param daemons the entries to call.
    /// @param recorder receives the calls.
    fleet_callers(const test_fleet& fleet, std::vector<std::string> daemons,
                  history_recorder& recorder);
    fleet_callers(const fleet_callers&) = delete;
    fleet_callers& operator=(const fleet_callers&) = delete;
    fleet_callers(fleet_callers&&) = delete;
    fleet_callers& operator=(fleet_callers&&) = delete;
    ~fleet_callers() { stop(); }

    /// Starts the callers.
    /// @param seed start of their random sequences.
    void start(unsigned seed);
    /// Waits until all calls have ended.
    void stop();

private:
    void call_until_stopped(random_engine engine, const std::string& name);
    void search(random_engine& engine, const std::string& id) const;
    void download(random_engine& engine, const std::string& id) const;
    void order(random_engine& engine, const std::string& id) const;
    std::string key_for(random_engine& engine, const std::string& id,
                        const std::string& daemon) const;
    const std::string& any_daemon(random_engine& engine) const;
    void send(call_event call, test_request request) const;

    const test_fleet& m_fleet;
    std::vector<std::string> m_daemons;
    history_recorder& m_recorder;
    std::atomic<bool> m_stopping{false};
    std::vector<std::thread> m_threads;
};

} // namespace galenaroad
