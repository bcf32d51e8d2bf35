#pragma once

#include "base/clock.h"
#include "proxy/answer_sink.h"
#include "proxy/attempt_result.h"
#include "proxy/backend_order.h"
#include "proxy/backend_pool.h"
#include "proxy/http_body_source.h"
#include "proxy/replayable_body.h"

#include <Poco/Net/HTTPResponse.h>
#include <memory>

namespace galenaroad {

/// Sends one request to a backend server and streams the response.
///
/// A request that is not idempotent always gets a new connection: on a reused one, a connection
/// closed by the backend server at that moment would leave the outcome unknown.
class backend_call {
public:
    /// Longest wait for a connection; backend servers run on the same instance.
    static constexpr auto connect_timeout = std::chrono::milliseconds(500);
    /// Longest wait for the response on a reused connection before a new one is tried.
    static constexpr auto silent_timeout = std::chrono::milliseconds(1000);
    /// Interval at which a waiting call looks for its cancellation.
    static constexpr auto cancel_poll = std::chrono::milliseconds(50);

    /// @param pool the idle connections.
    /// @param time the clock.
    backend_call(backend_pool& pool, const clock& time);

    /// Runs the call.
    /// @param order the request.
    /// @param body its body.
    /// @param sink receives the response.
    /// @return the outcome.
    attempt_result run(const backend_order& order, body_source& body, answer_sink& sink);

private:
    enum class wait_outcome { readable, silent, timed_out, cancelled };

    bool exchange_on_reused(const backend_order& order, replayable_body& body, answer_sink& sink,
                            attempt_result& outcome);
    attempt_result exchange(backend_connection& connection, const backend_order& order,
                            body_source& body, answer_sink& sink);
    attempt_result send(backend_connection& connection, const backend_order& order,
                        body_source& body);
    attempt_result send_body(backend_connection& connection, body_source& body);
    wait_outcome wait_for_answer(backend_connection& connection, const backend_order& order);
    attempt_result receive(backend_connection& connection, const backend_order& order,
                           answer_sink& sink);
    attempt_result stream(backend_connection& connection, const backend_order& order,
                          const body_framing& framing, answer_sink& sink, attempt_result outcome);

    backend_pool& m_pool;
    const clock& m_clock;
    bool m_reusable = false;
    bool m_no_answer = false; ///< The connection gave no byte of a response.
};

} // namespace galenaroad
