#pragma once

#include "net/header_field.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace galenaroad {

/// How the end of a message body is found.
enum class body_end {
    none,    ///< The message has no body.
    length,  ///< The body ends after a declared number of bytes.
    chunked, ///< The body ends with the last chunk.
    close,   ///< The body ends with the connection.
};

/// Framing of a message body.
struct http_framing {
    body_end end = body_end::none;
    std::uint64_t length = 0; ///< Valid for body_end::length.
};

/// Head of a request.
struct http_request_head {
    std::string method;
    std::string target;
    bool is_http_1_0 = false;
    header_list fields;
    http_framing framing;
    bool keep_alive = true; ///< The client permits reuse of the connection.
};

/// Head of a response.
struct http_response_head {
    int status = 0;
    std::string reason;
    header_list fields;
    http_framing framing;
    bool keep_alive = true;
};

/// Why a head was rejected.
enum class head_error {
    malformed,     ///< Not valid HTTP, or ambiguous framing.
    not_supported, ///< The transfer coding is not supported.
};

/// Parses and writes the heads of HTTP/1.1 messages (start line and header fields). Parsing is
/// strict, since a lenient parser would allow request smuggling.
class http_head {
public:
    /// Parses the head of a request.
    /// @param text the head including its final empty line.
    static tl::expected<http_request_head, head_error> read_request(std::string_view text);

    /// Parses the head of a response.
    /// @param text the head including its final empty line.
    /// @param method method of the request to which it responds.
    static tl::expected<http_response_head, head_error> read_response(std::string_view text,
                                                                      std::string_view method);

    /// Writes the head of a request. Framing fields are added from `head.framing`.
    static std::string write(const http_request_head& head);

    /// Writes the head of a response. Framing fields and `Connection` are added.
    static std::string write(const http_response_head& head);

    /// Finds the first field with the given name.
    /// @return its value, or nothing.
    static std::optional<std::string_view> find(const header_list& fields, std::string_view name);

    /// Replaces all fields with the given name by one field.
    static void set(header_list& fields, std::string_view name, std::string value);

    /// Removes all fields with the given name.
    static void remove(header_list& fields, std::string_view name);

    /// Removes the fields that apply to one connection only, including those named by `Connection`,
    /// and the body's framing.
    static void remove_connection_fields(header_list& fields);

    /// Parses an unsigned decimal number.
    /// @return the number, or nothing when the text is anything else.
    static std::optional<std::uint64_t> parse_number(std::string_view text);
};

} // namespace galenaroad
