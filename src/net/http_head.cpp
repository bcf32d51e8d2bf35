#include "net/http_head.h"

#include "net/header_rules.h"

#include <Poco/Net/HTTPResponse.h>
#include <Poco/String.h>
#include <Poco/StringTokenizer.h>
#include <algorithm>
#include <array>
#include <charconv>
#include <vector>

namespace galenaroad {

namespace {

using fields_or_error = tl::expected<header_list, head_error>;

constexpr std::string_view line_end = "\r\n";
constexpr std::array<std::string_view, 9> connection_fields{
    "Connection",        "Keep-Alive", "Proxy-Connection", "TE",    "Trailer",
    "Transfer-Encoding", "Upgrade",    "Content-Length",   "Expect"};

std::string_view read_line(std::string_view& text)
{
    const auto end = text.find(line_end);
    const auto line = text.substr(0, end);
    text.remove_prefix(end == std::string_view::npos ? text.size() : end + line_end.size());
    return line;
}

std::string_view trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

fields_or_error read_fields(std::string_view text)
{
    header_list fields;
    for (auto line = read_line(text); !line.empty(); line = read_line(text)) {
        const auto colon = line.find(':');
        if (colon == std::string_view::npos ||
            !header_rules::is_valid_name(line.substr(0, colon))) {
            return tl::make_unexpected(head_error::malformed);
        }
        const auto value = trimmed(line.substr(colon + 1));
        if (!header_rules::is_valid_value(value)) {
            return tl::make_unexpected(head_error::malformed);
        }
        fields.push_back({std::string(line.substr(0, colon)), std::string(value)});
    }
    return fields;
}

long count(const header_list& fields, std::string_view name)
{
    return std::count_if(fields.begin(), fields.end(), [&](const auto& field) {
        return header_rules::same_name(field.name, name);
    });
}

std::vector<std::string> field_tokens(const header_list& fields, std::string_view name)
{
    std::vector<std::string> tokens;
    for (const auto& field : fields) {
        if (header_rules::same_name(field.name, name)) {
            const Poco::StringTokenizer parts(field.value, ",", Poco::StringTokenizer::TOK_TRIM);
            tokens.insert(tokens.end(), parts.begin(), parts.end());
        }
    }
    return tokens;
}

bool has_token(const header_list& fields, std::string_view name, std::string_view token)
{
    const auto tokens = field_tokens(fields, name);
    return std::any_of(tokens.begin(), tokens.end(),
                       [&](const auto& each) { return header_rules::same_name(each, token); });
}

bool keeps_alive(const header_list& fields, bool is_http_1_0)
{
    if (is_http_1_0) {
        return has_token(fields, "Connection", "keep-alive");
    }
    return !has_token(fields, "Connection", "close");
}

// Returns `default_end` when the fields declare no framing.
tl::expected<http_framing, head_error> read_framing(const header_list& fields, body_end default_end)
{
    const auto lengths = count(fields, "Content-Length");
    const auto encodings = count(fields, "Transfer-Encoding");
    if (lengths + encodings > 1) {
        return tl::make_unexpected(head_error::malformed);
    }
    if (encodings == 1) {
        const auto coding = *http_head::find(fields, "Transfer-Encoding");
        if (!header_rules::same_name(coding, "chunked")) {
            return tl::make_unexpected(head_error::not_supported);
        }
        return http_framing{body_end::chunked, 0};
    }
    if (lengths == 0) {
        return http_framing{default_end, 0};
    }
    const auto length = http_head::parse_number(*http_head::find(fields, "Content-Length"));
    if (!length) {
        return tl::make_unexpected(head_error::malformed);
    }
    return http_framing{body_end::length, *length};
}

bool is_valid_target(std::string_view target)
{
    const bool is_printable =
        std::all_of(target.begin(), target.end(), [](char c) { return c > 0x20 && c < 0x7f; });
    return !target.empty() && target.front() == '/' && is_printable;
}

bool has_no_body(int status, std::string_view method)
{
    using Poco::Net::HTTPResponse;
    constexpr int first_final_status = 200;
    return method == "HEAD" || status < first_final_status ||
           status == HTTPResponse::HTTP_NO_CONTENT || status == HTTPResponse::HTTP_NOT_MODIFIED;
}

void append_fields(std::string& text, const header_list& fields)
{
    for (const auto& field : fields) {
        text.append(field.name).append(": ").append(field.value).append(line_end);
    }
}

void append_framing(std::string& text, const http_framing& framing)
{
    if (framing.end == body_end::chunked) {
        text.append("Transfer-Encoding: chunked").append(line_end);
    }
    if (framing.end == body_end::length) {
        text.append("Content-Length: ").append(std::to_string(framing.length)).append(line_end);
    }
}

} // namespace

tl::expected<http_request_head, head_error> http_head::read_request(std::string_view text)
{
    const auto line = read_line(text);
    const auto first_space = line.find(' ');
    const auto last_space = line.rfind(' ');
    if (first_space == std::string_view::npos || first_space == last_space) {
        return tl::make_unexpected(head_error::malformed);
    }
    http_request_head head;
    head.method = std::string(line.substr(0, first_space));
    head.target = std::string(line.substr(first_space + 1, last_space - first_space - 1));
    const auto version = line.substr(last_space + 1);
    head.is_http_1_0 = version == "HTTP/1.0";
    if (!header_rules::is_valid_name(head.method) || !is_valid_target(head.target) ||
        (version != "HTTP/1.1" && !head.is_http_1_0)) {
        return tl::make_unexpected(head_error::malformed);
    }
    auto fields = read_fields(text);
    if (!fields) {
        return tl::make_unexpected(fields.error());
    }
    const auto framing = read_framing(*fields, body_end::none);
    if (!framing) {
        return tl::make_unexpected(framing.error());
    }
    if (count(*fields, "Host") != 1 || (head.is_http_1_0 && framing->end == body_end::chunked)) {
        return tl::make_unexpected(head_error::malformed);
    }
    head.fields = std::move(*fields);
    head.framing = *framing;
    head.keep_alive = keeps_alive(head.fields, head.is_http_1_0);
    return head;
}

tl::expected<http_response_head, head_error> http_head::read_response(std::string_view text,
                                                                      std::string_view method)
{
    const auto line = read_line(text);
    constexpr std::size_t status_offset = 9;
    constexpr std::size_t status_size = 3;
    const auto version = line.substr(0, std::min(line.size(), status_offset));
    if (version != "HTTP/1.1 " && version != "HTTP/1.0 ") {
        return tl::make_unexpected(head_error::malformed);
    }
    const auto status = parse_number(line.substr(status_offset, status_size));
    constexpr std::uint64_t min_status = 100;
    constexpr std::uint64_t max_status = 599;
    const auto rest = line.substr(std::min(line.size(), status_offset + status_size));
    const bool ends_there = rest.empty() || rest.front() == ' ';
    if (!status || *status < min_status || *status > max_status || !ends_there) {
        return tl::make_unexpected(head_error::malformed);
    }
    // Some clients take a single line feed for the end of a line.
    const auto reason = trimmed(rest);
    if (!header_rules::is_valid_value(reason)) {
        return tl::make_unexpected(head_error::malformed);
    }
    http_response_head head;
    head.status = static_cast<int>(*status);
    head.reason = std::string(reason);
    auto fields = read_fields(text);
    if (!fields) {
        return tl::make_unexpected(fields.error());
    }
    const auto framing = read_framing(*fields, body_end::close);
    if (!framing) {
        return tl::make_unexpected(framing.error());
    }
    head.framing = has_no_body(head.status, method) ? http_framing{} : *framing;
    head.fields = std::move(*fields);
    head.keep_alive =
        keeps_alive(head.fields, version == "HTTP/1.0 ") && head.framing.end != body_end::close;
    return head;
}

std::string http_head::write(const http_request_head& head)
{
    std::string text = head.method + ' ' + head.target + " HTTP/1.1";
    text.append(line_end);
    append_fields(text, head.fields);
    append_framing(text, head.framing);
    return text.append(line_end);
}

std::string http_head::write(const http_response_head& head)
{
    using Poco::Net::HTTPResponse;
    const auto& reason =
        head.reason.empty()
            ? HTTPResponse::getReasonForStatus(static_cast<HTTPResponse::HTTPStatus>(head.status))
            : head.reason;
    std::string text = "HTTP/1.1 " + std::to_string(head.status) + ' ' + reason;
    text.append(line_end);
    append_fields(text, head.fields);
    append_framing(text, head.framing);
    if (!head.keep_alive) {
        text.append("Connection: close").append(line_end);
    }
    return text.append(line_end);
}

std::optional<std::string_view> http_head::find(const header_list& fields, std::string_view name)
{
    const auto* const found = header_rules::find(fields, name);
    return found == nullptr ? std::nullopt : std::make_optional<std::string_view>(found->value);
}

void http_head::set(header_list& fields, std::string_view name, std::string value)
{
    remove(fields, name);
    fields.push_back({std::string(name), std::move(value)});
}

void http_head::remove(header_list& fields, std::string_view name)
{
    const auto is_named = [&](const auto& field) {
        return header_rules::same_name(field.name, name);
    };
    fields.erase(std::remove_if(fields.begin(), fields.end(), is_named), fields.end());
}

void http_head::remove_connection_fields(header_list& fields)
{
    for (const auto& name : field_tokens(fields, "Connection")) {
        remove(fields, name);
    }
    for (const auto name : connection_fields) {
        remove(fields, name);
    }
}

std::optional<std::uint64_t> http_head::parse_number(std::string_view text)
{
    std::uint64_t value = 0;
    const auto* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
        return {};
    }
    return value;
}

} // namespace galenaroad
