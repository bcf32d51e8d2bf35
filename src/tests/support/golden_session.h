#pragma once

#include "tests/support/test_fleet.h"

#include <string>

namespace galenaroad {

/// Writes a session of requests and responses as text that is the same on each run.
class golden_session {
public:
    /// Sends a request and appends it with its response.
    /// @param address where to send it.
    /// @param title what the step shows.
    /// @param request the request.
    /// @return the response.
    test_answer step(const std::string& address, const std::string& title,
                     const test_request& request);

    /// @return the session so far.
    const std::string& text() const { return m_text; }

    /// Replaces what differs between runs: request ids, issued keys and which timer ended a call.
    /// @param text the text.
    /// @return the normalised text.
    static std::string normalised(const std::string& text);

private:
    std::string m_text;
};

} // namespace galenaroad
