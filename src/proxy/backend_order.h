#pragma once

#include "base/clock.h"
#include "net/header_field.h"

#include <cstdint>
#include <functional>
#include <string>

namespace galenaroad {

/// A request as it is sent to a backend server.
struct backend_order {
    std::string address;
    std::string request_id;
    std::string method;
    std::string target;
    header_list headers;
    std::int64_t content_length = 0; ///< -1 when not known.
    steady_time deadline;
    bool idempotent = false;
    std::function<bool()> is_cancelled; ///< The entry daemon no longer waits for the response.
};

} // namespace galenaroad
