#pragma once

#include "base/clock.h"
#include "base/random_engine.h"
#include "net/http_head.h"
#include "relay/attempt_registry.h"
#include "relay/relay_message_codec.h"

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace galenaroad {

/// What became of a request, as it is sent to whoever asks for it.
struct stored_response {
    http_response_head head;
    std::string body;
};

/// What the owner knows of a request whose answer is asked for.
enum class response_state {
    stored,  ///< It has ended, and its answer is here.
    pending, ///< It waits or runs.
    not_run, ///< It had not arrived, and is refused if it still does.
    unknown, ///< Nothing can be said; it may have run.
};

/// Keeps the answers of requests that must not run twice, so that an entry daemon that lost the
/// connection can fetch them on another one. Has no input or output.
///
/// Answers the load where connections between daemons are reset or fall silent while upstreams
/// work: without it, each such request ends as "outcome unknown".
class response_store {
public:
    using response_hook = std::function<void(const stored_response&)>;

    /// Answers with larger bodies are not kept.
    static constexpr std::size_t max_body_bytes = std::size_t{256} * 1024;
    /// Bodies of all kept answers together.
    static constexpr std::size_t max_total_bytes = std::size_t{8} * 1024 * 1024;

    /// @param time the clock; must outlive the store.
    /// @param random draws the identity of this start of the daemon.
    response_store(const clock& time, random_engine random);

    /// @return a text that the entry daemon sends back with a query. It proves that this start of
    /// the daemon has remembered everything since.
    std::string token() const;

    /// Notes that a request has arrived.
    /// @param attempt_id its identity.
    /// @param deadline when its answer is of no use any more.
    /// @return whether it may run; only `started` allows it.
    start_decision start(const std::string& attempt_id, steady_time deadline);

    /// Notes the end of a request that was started, and hands its answer to those who wait for it.
    void finish(const std::string& attempt_id, stored_response response);

    /// Looks up what became of a request. One that has not arrived never runs after this.
    /// @param query what is asked for.
    response_state look_up(const response_query& query);

    /// @return the answer of a request in the state `kept`.
    const stored_response& response(const std::string& attempt_id) const
    {
        return m_responses.at(attempt_id);
    }

    /// Waits for the answer of a request in the state `pending`.
    /// @param attempt_id the request.
    /// @param hook called once with its answer.
    void when_finished(const std::string& attempt_id, response_hook hook);

    /// @return bytes of the bodies that are kept.
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
    std::multimap<steady_time, std::string> m_expiry; ///< Of the kept answers.
    std::map<std::string, std::vector<response_hook>> m_response_hooks;
    std::size_t m_bytes = 0;
};

} // namespace galenaroad
