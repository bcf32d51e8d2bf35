#pragma once

#include "base/error_kind.h"
#include "proxy/entry_request.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <string>
#include <tl/expected.hpp>

namespace galenaroad {

/// Why a request was refused.
struct request_fault {
    error_kind kind = error_kind::invalid_request;
    std::string detail;
};

/// Checks the head of an arriving request: size limits, framing and characters.
class request_reader {
public:
    static constexpr std::size_t max_head_bytes = std::size_t{32} * 1024;
    static constexpr std::size_t max_headers = 64;
    static constexpr std::size_t max_key_bytes = 255;

    /// Reads the head.
    /// @param request the request as POCO parsed it.
    /// @return the checked request without an id, or why it is refused.
    static tl::expected<entry_request, request_fault>
    read(const Poco::Net::HTTPServerRequest& request);
};

} // namespace galenaroad
