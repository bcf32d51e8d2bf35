#pragma once

#include "net/http_head.h"

#include <chrono>
#include <cstdint>

namespace galenaroad {

/// How far a response body has come.
struct body_progress {
    http_framing framing;
    std::uint64_t received = 0;          ///< Bytes so far.
    std::chrono::nanoseconds elapsed{0}; ///< Since its first byte was awaited.
};

/// Decides on a response body that is still arriving when its request's deadline passes.
///
/// Answers two loads: a body without end, which would hold a slot and two connections for ever, and
/// a real answer that is nearly complete and worth delivering late.
class body_grace_period {
public:
    /// @param progress how far the body has come at the deadline.
    /// @return for how long it may go on; zero when it has to be broken off.
    static std::chrono::milliseconds for_progress(const body_progress& progress);
};

} // namespace galenaroad
