#pragma once

#include "net/header_field.h"

#include <cstdint>
#include <string>

namespace galenaroad {

/// A caller's request after its head has been checked.
struct entry_request {
    std::string id; ///< Chosen by the entry daemon; carried by every message of the request.
    std::string method;
    std::string target; ///< Path and query.
    std::string path;   ///< Without the query.
    std::string host;   ///< Without the port.
    header_list headers;
    bool has_body = false;
    std::int64_t content_length = -1; ///< -1 when not known.
    std::string idempotency_key;
    std::string traceparent;
    std::string caller; ///< Client account or address, for fairness.
};

} // namespace galenaroad
