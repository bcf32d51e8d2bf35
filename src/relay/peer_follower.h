#pragma once

#include "net/http_client.h"
#include "relay/peer_state.h"
#include "relay/relay_context.h"

#include <functional>
#include <memory>
#include <string>

namespace galenaroad {

/// Follows the state of one peer by questions that the peer holds until something has changed.
class peer_follower {
public:
    /// What the peer said last.
    enum class status {
        pending,     ///< Nothing yet.
        fresh,       ///< It reads the store, and the store answers it.
        stale,       ///< It answers, and does not read the store or is not answered by it.
        unreachable, ///< It does not answer.
    };

    using state_hook = std::function<void(const peer_state&)>;

    /// Starts to follow.
    /// @param context shared state; must outlive the follower.
    /// @param address the peer's address.
    /// @param on_state called with each answer.
    peer_follower(relay_context& context, std::string address, state_hook on_state);
    peer_follower(const peer_follower&) = delete;
    peer_follower& operator=(const peer_follower&) = delete;
    peer_follower(peer_follower&&) = delete;
    peer_follower& operator=(peer_follower&&) = delete;
    ~peer_follower();

    /// @return what the peer said last.
    status current_status() const { return m_status; }

    /// @return true when the store has ceased to answer the peer. One that has stopped to read,
    /// since it is not needed, has not lost it.
    bool has_lost_store() const { return m_has_lost_store; }

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
    bool m_has_been_fresh = false; ///< At any time.
    bool m_has_lost_store = false;
    std::shared_ptr<http_exchange> m_call;
    event_loop::timer_id m_request_timer = event_loop::no_timer; ///< Before the next question.
    event_loop::timer_id m_silence_timer = event_loop::no_timer; ///< Since the last sign of life.
    std::string m_response_body;
    int m_response_status = 0;
};

} // namespace galenaroad
