#pragma once

#include "base/clock.h"
#include "base/result.h"

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace galenaroad {

/// Limits that a request passes on along a chain of nested calls.
struct call_context {
    /// Calls that are nested deeper are refused, which ends call loops between services.
    static constexpr int max_depth = 8;
    /// Maximum number of retries in one chain of calls.
    static constexpr int initial_retries = 2;

    int depth = 0;
    int retries_left = initial_retries;
    steady_time deadline;

    /// Returns the value of a request header, or an empty optional without the header.
    using header_lookup = std::function<std::optional<std::string>(std::string_view name)>;

    /// Reads the context from the headers of a received request.
    /// @param header looks up a request header.
    /// @param route_timeout the timeout that the route declares.
    /// @param now the time of arrival.
    /// @return the context, or `invalid_request` or `call_too_deep`.
    static result<call_context> from_headers(const header_lookup& header,
                                             std::chrono::milliseconds route_timeout,
                                             steady_time now);

    /// @param now the current time.
    /// @return the time until the deadline, at least zero.
    std::chrono::milliseconds remaining(steady_time now) const;
};

} // namespace galenaroad
