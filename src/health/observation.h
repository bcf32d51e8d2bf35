#pragma once

#include "base/clock.h"
#include "model/contract.h"

#include <chrono>

namespace galenaroad {

/// How an attempt at an upstream ended, as far as the upstream's health is concerned.
enum class attempt_outcome {
    success,
    failure, ///< A server error, an incomplete response, or a time-out not caused by the link.
    shed,    ///< The upstream shed the request because of overload; not evidence of a fault.
};

/// One attempt at an upstream. Callers pass the service time that the owner reported, so that the
/// latency of the network link is not included.
struct observation {
    request_class work = request_class::read;
    attempt_outcome outcome = attempt_outcome::success;
    steady_time started;
    std::chrono::nanoseconds service_time{0}; ///< For transfers: the time to the first byte.
};

/// An attempt that has not ended yet. Its age is a lower bound for its service time.
struct open_attempt {
    request_class work = request_class::read;
    steady_time started;
};

} // namespace galenaroad
