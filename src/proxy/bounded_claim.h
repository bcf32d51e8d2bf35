#pragma once

#include "action/action_gate.h"
#include "proxy/action_services.h"
#include "proxy/store_executor.h"

#include <chrono>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>

namespace galenaroad {

/// Asks the gate whether an action may run, and waits for the table service for a bounded time.
///
/// A claim that is won after the wait has ended is given up: its attempt is never dispatched, so
/// that the refusal "not run" of the request is true.
class bounded_claim : public std::enable_shared_from_this<bounded_claim> {
public:
    /// @param services the services of at-most-once execution.
    /// @param request the action.
    /// @param declared its route.
    bounded_claim(std::shared_ptr<action_services> services, action_request request,
                  route declared);

    /// Asks the gate on a thread of the executor.
    /// @param executor the executor.
    /// @param longest_wait the longest wait for the decision.
    /// @return the decision; a refusal with `store_unavailable` when it took too long.
    action_decision decide(store_executor& executor, std::chrono::milliseconds longest_wait);

private:
    void ask();
    static action_decision refusal();

    std::shared_ptr<action_services> m_services;
    action_request m_request;
    route m_declared;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::optional<action_decision> m_decision;
    bool m_is_given_up = false;
};

} // namespace galenaroad
