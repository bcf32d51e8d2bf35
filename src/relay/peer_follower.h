#pragma once

#include "net/http_client.h"
#include "relay/peer_state.h"
#include "relay/relay_context.h"

#include <functional>
#include <memory>
#include <string>

namespace galenaroad {

/// Follows the state of one peer by long polling: the peer holds each request until its state has
/// changed.
class peer_follower {
public:
    /// State of the peer according to its last response.
    enum class status {
        pending,     ///< No response yet.
        fresh,       ///< It reads the store, and the store responds to it.
        stale,       ///< It responds, but does not read the store or gets no response from it.
        unreachable, ///< It does not respond.
    };

    using state_hook = std::function<void(const peer_state&)>;

    /// Starts to follow the peer.
    /// @param context shared state; must outlive the follower.
    /// @param address the peer's address.
    /// @param on_state called with each response.
    peer_follower(relay_context& context, std::string address, state_hook on_state);
    peer_follower(const peer_follower&) = delete;
    peer_follower& operator=(const peer_follower&) = delete;
    peer_follower(peer_follower&&) = delete;
    peer_follower& operator=(peer_follower&&) = delete;
    ~peer_follower();

    /// @return state of the peer according to its last response.
    status current_status() const { return m_status; }

    /// @return true when the peer has reported that it has lost the store. A peer that has stopped
    /// reading because it is not needed has not.
    bool has_lost_store() const { return m_has_lost_store; }

    /// @return version of the peer's plan according to its last response; 0 without one.
    std::uint64_t plan_version() const { return m_plan_version; }

private:
    void send_request();
    void on_response();
    void on_failed();
    void restart_silence_timer();

    relay_context& m_context;
    std::string m_address;
    state_hook m_on_state;
    change_position m_position;
    status m_status = status::pending;
    bool m_has_lost_store = false;
    std::uint64_t m_plan_version = 0;
    std::uint64_t m_plan_digest = 0; ///< Of the peer's plan, see peer_state.
    store_era m_era;                 ///< Of the store, as the peer has reported it.
    std::shared_ptr<http_exchange> m_call;
    event_loop::timer_id m_request_timer = event_loop::no_timer; ///< Until the next request.
    /// Since the last acknowledgement of the peer.
    event_loop::timer_id m_silence_timer = event_loop::no_timer;
    std::string m_response_body;
    int m_response_status = 0;
};

} // namespace galenaroad
