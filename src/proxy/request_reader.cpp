#include "proxy/request_reader.h"

#include "net/header_rules.h"

#include <Poco/Net/HTTPMessage.h>
#include <Poco/String.h>
#include <Poco/StringTokenizer.h>
#include <algorithm>
#include <charconv>
#include <optional>

namespace galenaroad {

namespace {

using Poco::Net::HTTPServerRequest;
using fault = std::optional<request_fault>;

fault invalid(std::string detail)
{
    return request_fault{error_kind::invalid_request, std::move(detail)};
}

long count(const HTTPServerRequest& request, std::string_view name)
{
    return std::count_if(request.begin(), request.end(), [&](const auto& field) {
        return header_rules::same_name(field.first, name);
    });
}

fault check_size(const HTTPServerRequest& request)
{
    std::size_t bytes = request.getMethod().size() + request.getURI().size();
    for (const auto& [name, value] : request) {
        bytes += name.size() + value.size() + 4;
    }
    if (bytes > request_reader::max_head_bytes) {
        return request_fault{error_kind::request_too_large, "The head exceeds 32 KiB"};
    }
    if (request.size() > request_reader::max_headers) {
        return request_fault{error_kind::request_too_large, "More than 64 header fields"};
    }
    return {};
}

fault check_fields(const HTTPServerRequest& request)
{
    for (const auto& [name, value] : request) {
        if (!header_rules::is_valid_name(name) || !header_rules::is_valid_value(value)) {
            return invalid("A header field has an invalid character");
        }
    }
    return {};
}

fault check_framing(const HTTPServerRequest& request)
{
    const auto lengths = count(request, "Content-Length");
    const auto encodings = count(request, "Transfer-Encoding");
    if (lengths > 1 || encodings > 1) {
        return invalid("Repeated Content-Length or Transfer-Encoding");
    }
    if (lengths > 0 && encodings > 0) {
        return invalid("Both Content-Length and Transfer-Encoding");
    }
    if (encodings > 0 && Poco::icompare(request.get("Transfer-Encoding"), "chunked") != 0) {
        return invalid("The transfer encoding is not supported");
    }
    if (encodings > 0 && request.getVersion() == Poco::Net::HTTPMessage::HTTP_1_0) {
        return invalid("Transfer-Encoding in an HTTP/1.0 request");
    }
    if (count(request, "Host") != 1) {
        return invalid("Exactly one Host header is required");
    }
    if (count(request, "Idempotency-Key") > 1) {
        return invalid("Repeated Idempotency-Key");
    }
    return {};
}

// A backend server may resolve dot segments and would then see another path than the route's.
bool has_dot_segment(const std::string& path)
{
    const auto plain = Poco::replace(Poco::toLower(path), std::string("%2e"), std::string("."));
    const Poco::StringTokenizer segments(plain, "/\\");
    return std::any_of(segments.begin(), segments.end(),
                       [](const auto& segment) { return segment == "." || segment == ".."; });
}

fault check_target(const HTTPServerRequest& request)
{
    const auto& target = request.getURI();
    if (!header_rules::is_valid_name(request.getMethod()) || request.getMethod() == "CONNECT" ||
        request.getMethod() == "TRACE") {
        return invalid("The method is not supported");
    }
    const bool is_printable =
        std::all_of(target.begin(), target.end(), [](char c) { return c > 0x20 && c < 0x7f; });
    if (target.empty() || target.front() != '/' || !is_printable) {
        return invalid("The request target is not a valid path");
    }
    if (has_dot_segment(target.substr(0, target.find('?')))) {
        return invalid("The path has a dot segment");
    }
    return {};
}

fault read_length(const HTTPServerRequest& request, entry_request& made)
{
    if (request.has("Transfer-Encoding")) {
        made.has_body = true;
        return {};
    }
    made.content_length = 0;
    if (!request.has("Content-Length")) {
        return {};
    }
    const auto& text = request.get("Content-Length");
    const auto* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, made.content_length);
    if (parsed.ec != std::errc() || parsed.ptr != end || made.content_length < 0) {
        return invalid("Content-Length is not a number");
    }
    made.has_body = made.content_length > 0;
    return {};
}

std::string host_without_port(const std::string& host)
{
    const auto colon = host.rfind(':');
    const bool has_port = colon != std::string::npos && host.find(']', colon) == std::string::npos;
    return Poco::toLower(has_port ? host.substr(0, colon) : host);
}

} // namespace

tl::expected<entry_request, request_fault> request_reader::read(const HTTPServerRequest& request)
{
    for (auto* const check : {check_size, check_fields, check_framing, check_target}) {
        if (auto found = check(request)) {
            return tl::make_unexpected(*found);
        }
    }
    entry_request made;
    if (auto found = read_length(request, made)) {
        return tl::make_unexpected(*found);
    }
    made.method = request.getMethod();
    made.target = request.getURI();
    made.path = made.target.substr(0, made.target.find('?'));
    made.host = host_without_port(request.getHost());
    made.headers = header_rules::forwarded_fields(request);
    made.idempotency_key = request.get("Idempotency-Key", "");
    made.traceparent = request.get("traceparent", "");
    made.caller = request.clientAddress().host().toString();
    if (made.idempotency_key.size() > max_key_bytes) {
        return tl::make_unexpected(*invalid("The idempotency key is longer than 255 bytes"));
    }
    return made;
}

} // namespace galenaroad
