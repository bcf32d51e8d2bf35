#pragma once

#include "base/result.h"
#include "model/upstream.h"

#include <string>

namespace galenaroad {

/// What a backend server announces about itself on the admin address.
struct upstream_announcement {
    std::string name;
    service_id service;
    std::string address; ///< IP address and port.
    int slots = 0;
    int connections = 0;

    /// Reads an announcement.
    /// @param name the name in the request's path.
    /// @param text the JSON body with business, service, address, slots and connections.
    /// @return the announcement, or `invalid_request`.
    static result<upstream_announcement> parse(const std::string& name, const std::string& text);
};

} // namespace galenaroad
