#pragma once

#include "base/clock.h"
#include "base/random_engine.h"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace galenaroad {

/// What an entry learns from sending an attempt to an owner.
enum class dispatch_state { finished, refused, silent };

/// Outcome of sending an attempt.
struct dispatch_result {
    dispatch_state state = dispatch_state::silent;
    std::string body;
};

/// Owner of an upstream, with the rules of an owner: it starts an attempt at most once, never after
/// a refusal or fence, and never after its deadline.
class model_owner {
public:
    /// Runs the action and returns its response's body.
    using action = std::function<std::string()>;

    /// @param time the clock.
    explicit model_owner(const clock& time) : m_clock(time) {}

    /// Receives an attempt.
    /// @return its response, or a refusal after which the attempt never starts.
    dispatch_result receive(const std::string& attempt, steady_time deadline, bool busy,
                            const action& run)
    {
        const bool known = m_started.count(attempt) > 0 || m_fenced.count(attempt) > 0;
        if (known || busy || m_clock.steady_now() >= deadline) {
            return refuse(attempt);
        }
        m_started.insert(attempt);
        return {dispatch_state::finished, run()};
    }

    /// Fences an attempt.
    /// @return true when it was not started and never will be.
    bool fence(const std::string& attempt)
    {
        if (m_started.count(attempt) > 0) {
            return false;
        }
        m_fenced.insert(attempt);
        return true;
    }

    /// Restarts the owner, which forgets everything.
    void restart()
    {
        ++m_incarnation;
        m_started.clear();
        m_fenced.clear();
    }

    int incarnation() const { return m_incarnation; }

private:
    // A second copy of a started attempt gets no answer, because its outcome is not a refusal.
    dispatch_result refuse(const std::string& attempt)
    {
        return {fence(attempt) ? dispatch_state::refused : dispatch_state::silent, {}};
    }

    const clock& m_clock;
    int m_incarnation = 1;
    std::set<std::string> m_started;
    std::set<std::string> m_fenced;
};

} // namespace galenaroad
