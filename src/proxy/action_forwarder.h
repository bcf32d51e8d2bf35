#pragma once

#include "proxy/action_services.h"
#include "proxy/forwarder.h"

#include <functional>
#include <memory>

namespace galenaroad {

/// Forwards requests and keeps actions from running twice: claims keys before dispatch, records
/// responses, answers repeated requests and passes issued keys on to their issuer.
class action_forwarder {
public:
    /// Greatest body of an action with a key: its digest is needed before it is dispatched.
    static constexpr std::size_t max_keyed_body_bytes = std::size_t{1024} * 1024;

    /// Finds the services of the current incarnation; null before the daemon has started.
    using services_source = std::function<std::shared_ptr<action_services>()>;

    /// @param forward makes the attempts; must outlive this object.
    /// @param services the services of at-most-once execution.
    action_forwarder(forwarder& forward, services_source services);

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
    attempt_result run_action(action_services& services, forward_order& order,
                              replayable_body& body, answer_sink& sink);
    attempt_result dispatch(action_gate& gate, const action_ticket& ticket, forward_order& order,
                            replayable_body& body, answer_sink& sink);
    static attempt_result replay(const recorded_response& response, answer_sink& sink);

    forwarder& m_forward;
    services_source m_services;
};

} // namespace galenaroad
