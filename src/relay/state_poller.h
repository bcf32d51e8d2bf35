#pragma once

#include "net/http_client.h"
#include "relay/peer_state.h"
#include "relay/relay_context.h"

#include <functional>
#include <list>
#include <memory>
#include <string>

namespace galenaroad {

/// Requests the states of peers that are not followed, while nothing vouches for the plan in force.
class state_poller {
public:
    using state_hook = std::function<void(const peer_state&, const std::string& peer)>;
    using unreachable_hook = std::function<void(const std::string& peer)>;

    /// @param context shared state; must outlive the poller.
    /// @param on_state called with each response and the peer's address.
    /// @param on_unreachable called with the address of a peer that does not respond.
    state_poller(relay_context& context, state_hook on_state, unreachable_hook on_unreachable);

    /// Requests the state of a peer. Of too many requests without a response, the oldest one is
    /// abandoned.
    /// @param peer the peer's address.
    void request_state(const std::string& peer);

private:
    /// A request that has not been completed.
    struct pending_request {
        std::string peer;
        std::string response_body;
        std::shared_ptr<http_exchange> call;
    };

    using request_iterator = std::list<pending_request>::iterator;

    bool make_room();
    void on_response(request_iterator pending);
    void on_failed(request_iterator pending);

    relay_context& m_context;
    state_hook m_on_state;
    unreachable_hook m_on_unreachable;
    std::list<pending_request> m_requests;
};

} // namespace galenaroad
