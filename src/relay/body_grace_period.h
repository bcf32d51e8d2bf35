#pragma once

#include "net/http_head.h"

#include <chrono>
#include <cstdint>

namespace galenaroad {

/// Progress of a response body.
struct body_progress {
    http_framing framing;
    std::uint64_t received = 0;          ///< Bytes so far.
    std::chrono::nanoseconds elapsed{0}; ///< Since its first byte was expected.
};

/// Decides how long a response body may continue to arrive after its request's deadline.
///
/// Aborts endless bodies, which would otherwise hold a slot and two connections forever, but allows
/// a genuine response that is nearly complete to be delivered late.
class body_grace_period {
public:
    /// @param progress progress of the body at the deadline.
    /// @return for how long it may continue; zero when it has to be aborted.
    static std::chrono::milliseconds for_progress(const body_progress& progress);
};

} // namespace galenaroad
