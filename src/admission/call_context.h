#pragma once

#include "base/clock.h"
#include "base/result.h"

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace galenaroad {

/// What a request carries along a chain of nested calls.
struct call_context {
    /// Calls deeper than this are refused, which ends loops between services.
    static constexpr int max_depth = 8;
    /// Retries that one chain of calls may spend in total.
    static constexpr int initial_retries = 2;

    int depth = 0;
    int retries_left = initial_retries;
    steady_time deadline;

    /// Returns the value of a request header, or nothing when it is absent.
    using header_lookup = std::function<std::optional<std::string>(std::string_view name)>;

    /// Reads the context of an arriving request.
    /// @param header looks up a request header.
    /// @param route_timeout the timeout that the route declares.
    /// @param now the time of arrival.
    /// @return the context, or `invalid_request` or `call_too_deep`.
    static result<call_context> from_headers(const header_lookup& header,
                                             std::chrono::milliseconds route_timeout,
                                             steady_time now);

    /// @param now the current time.
    /// @return the time left, never negative.
    std::chrono::milliseconds remaining(steady_time now) const;
};

} // namespace galenaroad
