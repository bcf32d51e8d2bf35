#pragma once

#include "base/clock.h"
#include "peer/client_pool.h"
#include "proxy/answer_sink.h"
#include "proxy/attempt_result.h"
#include "proxy/body_source.h"
#include "proxy/watchdog.h"

#include <atomic>
#include <functional>
#include <memory>

namespace galenaroad {

/// Times that bound one attempt.
struct attempt_times {
    steady_time head_by;  ///< The head of the response must have arrived.
    steady_time deadline; ///< The response must be complete.
};

/// Result of an attempt with what the owner reported about its load.
struct forward_outcome {
    attempt_result result;
    peer::ResponseTrailer trailer; ///< Set when the response is complete.
};

/// Sends one request to an owner daemon and streams the response to a sink.
class forward_attempt {
public:
    /// Longest wait for a connection to a daemon.
    static constexpr auto connect_timeout = std::chrono::milliseconds(300);

    /// Decides on a response's head before it is passed on; false discards the response.
    using head_filter = std::function<bool(int status)>;

    /// @param client the channel to the owner.
    /// @param guard cancels the attempt when its time has run out.
    /// @param time the clock.
    forward_attempt(std::shared_ptr<const peer_client> client, watchdog& guard, const clock& time);

    /// Sends the request as an action to the daemon that issued its key.
    void use_issued_action() { m_issued_action = true; }

    /// Runs the attempt.
    /// @param head the request's head, without the remaining time.
    /// @param body its body.
    /// @param sink receives the response.
    /// @param times the attempt's bounds.
    /// @param accepts decides whether the response is passed on.
    /// @return the outcome.
    forward_outcome run(peer::RequestHead head, body_source& body, answer_sink& sink,
                        const attempt_times& times, const head_filter& accepts);

    /// @return true when no head had arrived at the time given in attempt_times.
    bool is_head_late() const { return m_head_late; }

private:
    using stream = grpc::ClientReaderWriter<peer::ForwardRequest, peer::ForwardResponse>;

    attempt_result send(stream& call, const peer::RequestHead& head, body_source& body);
    attempt_result send_body(stream& call, body_source& body);
    void receive(stream& call, answer_sink& sink, const head_filter& accepts,
                 forward_outcome& outcome);
    bool handle(const peer::ForwardResponse& message, answer_sink& sink, const head_filter& accepts,
                forward_outcome& outcome);
    bool handle_head(const peer::ResponseHead& head, answer_sink& sink, const head_filter& accepts,
                     forward_outcome& outcome);
    void note_broken(const grpc::Status& status, forward_outcome& outcome) const;

    std::shared_ptr<const peer_client> m_client;
    watchdog& m_guard;
    const clock& m_clock;
    std::string m_request_id;
    steady_time m_started;
    std::atomic<bool> m_head_late{false};
    bool m_issued_action = false;
    bool m_ended = false; ///< The owner has sent a trailer or an error.
};

} // namespace galenaroad
