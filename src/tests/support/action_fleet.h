#pragma once

#include "action/action_gate.h"
#include "base/manual_clock.h"
#include "experiment/action_history_checker.h"
#include "platform/memory_object_store.h"
#include "platform/memory_table_service.h"
#include "tests/support/interleaver.h"
#include "tests/support/model_owner.h"
#include "tests/support/unreliable_table_service.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace galenaroad {

/// Faults of a run, each as a share of the steps at which it may occur.
struct action_fleet_faults {
    store_fault_shares store;
    double daemon_crash = 0;
    double owner_crash = 0;
    double pause = 0;
    double lost_dispatch = 0;
    double late_dispatch = 0;
    double lost_answer = 0;
    double wrong_liveness = 0;
    double reused_key = 0;
    bool read_claimed_as_released = false; ///< Planted fault: rows lose their claims.
    bool refuse_after_start = false;       ///< Planted fault: an owner refuses what it started.
};

/// A fleet of daemons on one table service, whose callers ask again until their actions complete.
/// One seed determines the order of all steps and faults.
class action_fleet {
public:
    /// @param seed the seed.
    /// @param faults the faults.
    action_fleet(std::uint64_t seed, const action_fleet_faults& faults);
    action_fleet(const action_fleet&) = delete;
    action_fleet& operator=(const action_fleet&) = delete;
    action_fleet(action_fleet&&) = delete;
    action_fleet& operator=(action_fleet&&) = delete;
    ~action_fleet();

    /// Runs all callers to their ends. Then heals all faults, retries what is pending and asks
    /// for each key once more.
    void run();

    /// @return the history's judge.
    const action_history_checker& history() const { return m_history; }

    /// @return the keys whose last answer, without faults, did not tell their outcome although
    /// nothing was in progress any more, and daemons that could not settle their claims.
    const std::vector<std::string>& blocked() const { return m_blocked; }

private:
    struct daemon;
    struct caller_request {
        action_request action;
        std::string id;
    };

    void add_callers();
    void call_repeatedly(const std::string& key);
    error_kind call(const std::string& key);
    caller_request make_request(const std::string& key);
    error_kind serve(daemon& entry, const caller_request& request);
    error_kind pass_on(daemon& entry, const caller_request& request, const std::string& address);
    error_kind dispatch(daemon& entry, const caller_request& request, const action_ticket& ticket);
    error_kind end_silent(daemon& entry, const caller_request& request, const action_ticket& ticket,
                          model_owner& owner, int incarnation);
    dispatch_result send(const caller_request& request, const action_ticket& ticket,
                         model_owner& owner);
    dispatch_result deliver(const caller_request& request, const std::string& attempt,
                            model_owner& owner);
    void answer(const caller_request& request, error_kind error, const std::string& body = {});
    void deliver_late_effects();
    void deliver_one_late_effect();
    void settle_all();
    void ask_again_without_faults();
    std::shared_ptr<daemon> start_daemon(std::size_t index);
    void step(const daemon& at);
    bool chance(double share);
    std::shared_ptr<daemon> live_daemon(const std::string& address);
    bool is_alive(std::uint64_t incarnation);

    action_fleet_faults m_faults;
    random_engine m_random;
    interleaver m_interleaver{m_random};
    manual_clock m_clock;
    memory_table_service m_tables;
    memory_object_store m_objects;
    late_effects m_late;
    action_history_checker m_history;
    std::vector<std::unique_ptr<model_owner>> m_owners;
    std::vector<std::shared_ptr<daemon>> m_daemons;
    std::vector<std::string> m_keys;
    std::vector<std::string> m_blocked;
    std::uint64_t m_last_incarnation = 0;
    std::uint64_t m_last_request = 0;
    std::size_t m_running_callers = 0;
    bool m_interleaved = true;
};

} // namespace galenaroad
