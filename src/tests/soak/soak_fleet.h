#pragma once

#include "base/process_clock.h"
#include "soak/soak_history.h"
#include "soak/soak_link.h"
#include "soak/soak_process.h"
#include "soak/soak_store.h"
#include "soak/soak_upstream.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace galenaroad {

/// Size and length of a soak run.
struct soak_settings {
    std::string program; ///< Path of the daemon's program.
    std::string folder;  ///< For settings files and logs; exists.
    std::uint64_t seed = 1;
    int daemons = 6;
    double requests_per_second = 80;
    std::chrono::milliseconds length{12000};
};

/// A fleet of real daemon processes on loopback with stand-ins around it, and random faults from
/// outside. Everything but the daemons runs on one loop.
class soak_fleet {
public:
    /// @param settings size and length.
    explicit soak_fleet(soak_settings settings);
    soak_fleet(const soak_fleet&) = delete;
    soak_fleet& operator=(const soak_fleet&) = delete;
    soak_fleet(soak_fleet&&) = delete;
    soak_fleet& operator=(soak_fleet&&) = delete;
    ~soak_fleet();

    /// Runs for the whole length.
    /// @return what was recorded.
    const soak_history& run();

    /// @return the faults that were injected, one a line.
    const std::vector<std::string>& faults() const { return m_faults; }

private:
    struct member;

    void add_member(int index);
    void write_settings(const member& each) const;
    void store_plan();
    void restore_store();
    void check_rows_later(std::map<std::string, std::uint64_t> revisions);
    std::uint64_t stored_revision(const member& of) const;
    void send_requests();
    void send_request();
    void inject();
    void inject_on(member& each);
    void disturb_process(member& each, int kind);
    void disturb_link(member& each, soak_link& link, int kind);
    void step_clock(const member& each);
    void disturb_store();
    void disturb_upstream(member& each, int kind);
    void stop_and_start(member& each);
    void restart_when_ended(member& each, std::size_t disturbance);
    void note(const std::string& fault);
    std::size_t disturb(const std::string& part, std::chrono::milliseconds length,
                        bool is_planned_stop = false);
    void after(std::chrono::milliseconds delay, std::function<void()> action);
    int any(int least, int greatest);

    soak_settings m_settings;
    process_clock m_clock;
    event_loop m_loop{m_clock};
    std::mt19937_64 m_random;
    http_client m_clients{m_loop};
    soak_history m_history;
    std::string m_store_address;
    std::unique_ptr<soak_store> m_store;
    std::vector<std::unique_ptr<member>> m_members;
    std::vector<std::shared_ptr<http_exchange>> m_calls;
    std::vector<std::string> m_faults;
    steady_time m_start;
    std::uint64_t m_plan_version = 0;
    std::string m_plan_text; ///< Of the operators' newest plan.
    bool m_is_ending = false;
};

} // namespace galenaroad
