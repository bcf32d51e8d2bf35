#include "proxy/answer_framing.h"

#include "net/header_rules.h"

#include <Poco/String.h>
#include <algorithm>
#include <charconv>

namespace galenaroad {

namespace {

using Poco::Net::HTTPResponse;

long count(const HTTPResponse& response, std::string_view name)
{
    return std::count_if(response.begin(), response.end(), [&](const auto& field) {
        return header_rules::same_name(field.first, name);
    });
}

bool has_no_body(const HTTPResponse& response, std::string_view method)
{
    const int status = response.getStatus();
    return method == "HEAD" || status == HTTPResponse::HTTP_NO_CONTENT ||
           status == HTTPResponse::HTTP_NOT_MODIFIED;
}

std::optional<std::uint64_t> content_length(const HTTPResponse& response)
{
    const auto& text = response.get("Content-Length");
    const auto* const end = text.data() + text.size();
    std::uint64_t length = 0;
    const auto parsed = std::from_chars(text.data(), end, length);
    if (parsed.ec != std::errc() || parsed.ptr != end || length > INT64_MAX) {
        return {};
    }
    return length;
}

} // namespace

std::optional<body_framing> answer_framing::of(const HTTPResponse& response,
                                               std::string_view method)
{
    const auto lengths = count(response, "Content-Length");
    const auto encodings = count(response, "Transfer-Encoding");
    if (lengths + encodings > 1) {
        return {};
    }
    if (has_no_body(response, method)) {
        return body_framing{};
    }
    if (encodings == 1) {
        if (Poco::icompare(response.get("Transfer-Encoding"), "chunked") != 0) {
            return {};
        }
        return body_framing{body_framing::kind::chunked};
    }
    const auto length = lengths == 1 ? content_length(response) : std::nullopt;
    if (!length) {
        return {};
    }
    return body_framing{body_framing::kind::fixed_length, *length};
}

std::int64_t answer_framing::declared_length(const HTTPResponse& response,
                                             const body_framing& framing)
{
    if (framing.type == body_framing::kind::fixed_length) {
        return static_cast<std::int64_t>(framing.length);
    }
    if (framing.type == body_framing::kind::none && response.has("Content-Length")) {
        return static_cast<std::int64_t>(content_length(response).value_or(0));
    }
    return framing.type == body_framing::kind::none ? 0 : -1;
}

} // namespace galenaroad
