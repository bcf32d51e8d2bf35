#include "admission/call_context.h"

#include "base/error_kind.h"

#include <algorithm>
#include <charconv>

namespace galenaroad {

namespace {

constexpr long max_timeout_ms = 3'600'000;

result<long> parse_number(const std::optional<std::string>& text, long absent, long max)
{
    if (!text) {
        return absent;
    }
    long value = 0;
    const char* end = text->data() + text->size();
    const auto parsed = std::from_chars(text->data(), end, value);
    if (parsed.ec != std::errc() || parsed.ptr != end || value < 0) {
        return tl::make_unexpected(make_error_code(error_kind::invalid_request));
    }
    return std::min(value, max);
}

} // namespace

result<call_context> call_context::from_headers(const header_lookup& header,
                                                std::chrono::milliseconds route_timeout,
                                                steady_time now)
{
    const auto depth = parse_number(header("X-Call-Depth"), 0, max_depth + 1);
    const auto retries = parse_number(header("X-Retry-Budget"), initial_retries, initial_retries);
    const auto timeout =
        parse_number(header("X-Request-Timeout-Ms"), route_timeout.count(), max_timeout_ms);
    if (!depth || !retries || !timeout) {
        return tl::make_unexpected(make_error_code(error_kind::invalid_request));
    }
    if (*depth > max_depth) {
        return tl::make_unexpected(make_error_code(error_kind::call_too_deep));
    }
    call_context context;
    context.depth = static_cast<int>(*depth);
    context.retries_left = static_cast<int>(*retries);
    context.deadline = now + std::min(std::chrono::milliseconds(*timeout), route_timeout);
    return context;
}

std::chrono::milliseconds call_context::remaining(steady_time now) const
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now);
    return std::max(left, std::chrono::milliseconds(0));
}

} // namespace galenaroad
