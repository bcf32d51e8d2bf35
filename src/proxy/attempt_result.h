#pragma once

#include "base/error_kind.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace galenaroad {

/// Outcome of one attempt to have a request handled.
struct attempt_result {
    error_kind kind = error_kind::ok;
    run_state run = run_state::completed; ///< What is proved about the attempt.
    std::chrono::milliseconds retry_after{0};
    std::string detail;
    bool answer_started = false; ///< The head has been passed to the sink.
    bool sink_gone = false;      ///< The receiver of the response went away.
    int status = 0;              ///< HTTP status, when a head arrived.
    std::uint64_t body_bytes = 0;
    std::chrono::microseconds first_byte{0}; ///< Time until the head arrived.

    /// Makes a result from the error table.
    /// @param kind the error.
    /// @param detail text for the caller.
    /// @return the result with the table's run state and retry time.
    static attempt_result failed(error_kind kind, std::string detail)
    {
        const auto& row = answer_for(kind);
        attempt_result made;
        made.kind = kind;
        made.run = row.run;
        made.retry_after = row.retry_after;
        made.detail = std::move(detail);
        return made;
    }

    /// @return true when the response is complete.
    bool ok() const { return kind == error_kind::ok; }
};

} // namespace galenaroad
