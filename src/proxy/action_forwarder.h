#pragma once

#include "proxy/action_services.h"
#include "proxy/forwarder.h"
#include "proxy/store_executor.h"

#include <functional>
#include <memory>

namespace galenaroad {

/// Forwards requests and keeps actions from running twice: claims keys before dispatch, records
/// responses, answers repeated requests and passes issued keys on to their issuer.
class action_forwarder {
public:
    /// Greatest body of an action with a key: its digest is needed before it is dispatched.
    static constexpr std::size_t max_keyed_body_bytes = std::size_t{1024} * 1024;

    /// Threads that wait for the table service. At 200 claims a second and 50 ms each, 10 are busy.
    static constexpr int store_threads = 16;

    /// Finds the services of the current incarnation; null before the daemon has started.
    using services_source = std::function<std::shared_ptr<action_services>()>;

    /// @param forward makes the attempts; must outlive this object.
    /// @param services the services of at-most-once execution.
    /// @param time the clock.
    action_forwarder(forwarder& forward, services_source services, const clock& time);

    /// @param order a request.
    /// @return the length up to which its body is kept.
    static std::size_t kept_bytes(const forward_order& order);

    /// Runs a request.
    /// @param order the request.
    /// @param body its body, read as far as it is kept.
    /// @param sink receives the response.
    /// @return the outcome.
    attempt_result run(forward_order& order, replayable_body& body, answer_sink& sink);

private:
    using shared_services = std::shared_ptr<action_services>;

    attempt_result run_action(const shared_services& services, forward_order& order,
                              replayable_body& body, answer_sink& sink);
    action_decision decide(const shared_services& services, const forward_order& order,
                           const replayable_body& body);
    attempt_result dispatch(const shared_services& services, const action_ticket& ticket,
                            forward_order& order, replayable_body& body, answer_sink& sink);
    void settle(const action_ticket& ticket, const std::function<void()>& settlement);
    static attempt_result replay(const recorded_response& response, answer_sink& sink);

    forwarder& m_forward;
    services_source m_services;
    const clock& m_clock;
    store_executor m_executor;
};

} // namespace galenaroad
