#pragma once

#include "base/clock.h"
#include "base/random_engine.h"
#include "net/http_head.h"
#include "relay/attempt_registry.h"
#include "relay/relay_message.h"

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace galenaroad {

/// What became of a request, as it is sent to whoever asks for it.
struct kept_answer {
    http_response_head head;
    std::string body;
};

/// What the owner knows of a request whose answer is asked for.
enum class answer_state {
    kept,    ///< It has ended, and its answer is here.
    pending, ///< It waits or runs.
    not_run, ///< It had not arrived, and is refused if it still does.
    unknown, ///< Nothing can be said; it may have run.
};

/// Keeps the answers of requests that must not run twice, so that an entry daemon that lost the
/// connection can fetch them on another one. Has no input or output.
///
/// Answers the load where connections between daemons are reset or fall silent while upstreams
/// work: without it, each such request ends as "outcome unknown".
class answer_store {
public:
    using answer_hook = std::function<void(const kept_answer&)>;

    /// Answers with larger bodies are not kept.
    static constexpr std::size_t max_body_bytes = std::size_t{256} * 1024;
    /// Bodies of all kept answers together.
    static constexpr std::size_t max_total_bytes = std::size_t{8} * 1024 * 1024;

    /// @param time the clock; must outlive the store.
    /// @param random draws the identity of this start of the daemon.
    answer_store(const clock& time, random_engine random);

    /// @return a text that the entry daemon sends back with a query. It proves that this start of
    /// the daemon has remembered everything since.
    std::string token() const;

    /// Notes that a request has arrived.
    /// @param attempt_id its identity.
    /// @param deadline when its answer is of no use any more.
    /// @return whether it may run; only `started` allows it.
    start_decision start(const std::string& attempt_id, steady_time deadline);

    /// Notes the end of a request that was started, and hands its answer to those who wait for it.
    void finish(const std::string& attempt_id, kept_answer answer);

    /// Looks up what became of a request. One that has not arrived never runs after this.
    /// @param query what is asked for.
    answer_state look_up(const answer_query& query);

    /// @return the answer of a request in the state `kept`.
    const kept_answer& answer(const std::string& attempt_id) const
    {
        return m_answers.at(attempt_id);
    }

    /// Waits for the answer of a request in the state `pending`.
    /// @param attempt_id the request.
    /// @param hook called once with its answer.
    void when_finished(const std::string& attempt_id, answer_hook hook);

    /// @return bytes of the bodies that are kept.
    std::size_t kept_bytes() const { return m_bytes; }

private:
    bool has_remembered_since(const std::string& token) const;
    std::chrono::seconds uptime() const;
    void keep(const std::string& attempt_id, kept_answer answer);
    void drop(const std::string& attempt_id);
    void drop_expired();

    const clock& m_clock;
    steady_time m_started_at;
    std::string m_identity;
    attempt_registry m_attempts;
    std::map<std::string, kept_answer> m_answers;
    std::multimap<steady_time, std::string> m_expiry; ///< Of the kept answers.
    std::map<std::string, std::vector<answer_hook>> m_waiting;
    std::size_t m_bytes = 0;
};

} // namespace galenaroad
