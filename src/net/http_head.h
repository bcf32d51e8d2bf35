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
    length,  ///< After a declared number of bytes.
    chunked, ///< With the last chunk.
    close,   ///< With the connection.
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
    bool keep_alive = true; ///< The client lets the connection be used again.
};

/// Head of a response.
struct http_response_head {
    int status = 0;
    std::string reason;
    header_list fields;
    http_framing framing;
    bool keep_alive = true;
};

/// Why a head was refused.
enum class head_error {
    malformed,     ///< Not HTTP, or ambiguous framing.
    not_supported, ///< A transfer encoding or version that is not supported.
};

/// Reads and writes heads of HTTP/1.1 messages. Reading is strict, since a lenient reading would
/// let one request pass as two.
class http_head {
public:
    /// Reads the head of a request.
    /// @param text the head with its final empty line.
    static tl::expected<http_request_head, head_error> read_request(std::string_view text);

    /// Reads the head of a response.
    /// @param text the head with its final empty line.
    /// @param method method of the request that it answers.
    static tl::expected<http_response_head, head_error> read_response(std::string_view text,
                                                                      std::string_view method);

    /// Writes the head of a request; framing fields are added from its framing.
    static std::string write(const http_request_head& head);

    /// Writes the head of a response; framing and connection fields are added.
    static std::string write(const http_response_head& head);

    /// Finds the first field with a name.
    /// @return its value, or nothing.
    static std::optional<std::string_view> find(const header_list& fields, std::string_view name);

    /// Replaces all fields with a name by one.
    static void set(header_list& fields, std::string_view name, std::string value);

    /// Removes all fields with a name.
    static void remove(header_list& fields, std::string_view name);

    /// Removes the fields that concern one connection only, those that `Connection` names
    /// included, and the body's framing.
    static void remove_connection_fields(header_list& fields);

    /// Reads a decimal number without sign.
    /// @return the number, or nothing when the text is anything else.
    static std::optional<std::uint64_t> parse_number(std::string_view text);
};

} // namespace galenaroad
