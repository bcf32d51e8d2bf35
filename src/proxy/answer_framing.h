#pragma once

#include "proxy/http_body_source.h"

#include <Poco/Net/HTTPResponse.h>
#include <cstdint>
#include <optional>
#include <string_view>

namespace galenaroad {

/// Determines how the body of a backend server's response ends.
class answer_framing {
public:
    /// Finds the framing.
    /// @param response the head of the response.
    /// @param method the method of the request.
    /// @return the framing, or nothing when the head contradicts itself or the body would end with
    /// the connection, so that a complete body cannot be told from a truncated one.
    static std::optional<body_framing> of(const Poco::Net::HTTPResponse& response,
                                          std::string_view method);

    /// @param response the head of the response.
    /// @param framing its framing.
    /// @return the length to declare to the caller, or -1 when not known.
    static std::int64_t declared_length(const Poco::Net::HTTPResponse& response,
                                        const body_framing& framing);
};

} // namespace galenaroad
