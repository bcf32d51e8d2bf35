#pragma once

#include "base/clock.h"
#include "base/random_engine.h"
#include "fleet/relay_message_codec.h"
#include "net/http_head.h"
#include "relay/attempt_registry.h"

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace galenaroad {

/// Response to a request, as sent to an entry daemon that queries for it.
struct stored_response {
    http_response_head head;
    std::string body;
};

/// What the owner knows about a request when its response is queried.
enum class response_state {
    stored,  ///< It has ended, and its response is stored.
    pending, ///< It is waiting or running.
    not_run, ///< It had not arrived, and will be refused if it still does.
    unknown, ///< Nothing is known; it may have run.
};

/// Stores the responses to requests that must not run twice, so that an entry daemon that lost the
/// connection can fetch them on another one. Performs no I/O.
///
/// For connections between daemons that are reset or become unresponsive while an upstream works:
/// without the store, each such request would end with an unknown outcome.
class response_store {
public:
    using response_hook = std::function<void(const stored_response&)>;

    /// Responses with larger bodies are not stored.
    static constexpr std::size_t max_body_bytes = std::size_t{256} * 1024;
    /// Limit on the total size of the stored bodies.
    static constexpr std::size_t max_total_bytes = std::size_t{8} * 1024 * 1024;

    /// @param time the clock; must outlive the store.
    /// @param random generates an id for this run of the daemon process.
    response_store(const clock& time, random_engine random);

    /// @return a token that the entry daemon sends back with a query. It proves that this run of
    /// the daemon has tracked all attempts since the token was issued.
    std::string token() const;

    /// Records the arrival of a request.
    /// @param attempt_id id of the attempt.
    /// @param deadline time after which its response is no longer of use.
    /// @return whether it may run; only `started` allows it.
    start_decision start(const std::string& attempt_id, steady_time deadline);

    /// Records the end of a request that was started, and passes its response to the waiting hooks.
    void finish(const std::string& attempt_id, stored_response response);

    /// Looks up the state of a request. A request that has not arrived yet will never run after
    /// this.
    /// @param query identifies the attempt.
    response_state look_up(const response_query& query);

    /// @return the response to a request in the state `stored`.
    const stored_response& response(const std::string& attempt_id) const
    {
        return m_responses.at(attempt_id);
    }

    /// Registers a hook for the response to a request in the state `pending`.
    /// @param attempt_id the request.
    /// @param hook called once with the response.
    void when_finished(const std::string& attempt_id, response_hook hook);

    /// @return total size of the stored bodies in bytes.
    std::size_t stored_bytes() const { return m_bytes; }

private:
    bool tracks_since(const std::string& token) const;
    std::chrono::seconds uptime() const;
    void store(const std::string& attempt_id, stored_response response);
    void remove(const std::string& attempt_id);
    void remove_expired();

    const clock& m_clock;
    steady_time m_started_at;
    std::string m_start_id;
    attempt_registry m_attempts;
    std::map<std::string, stored_response> m_responses;
    std::multimap<steady_time, std::string> m_expiry; ///< Of the stored responses.
    std::map<std::string, std::vector<response_hook>> m_response_hooks;
    std::size_t m_bytes = 0;
};

} // namespace galenaroad
