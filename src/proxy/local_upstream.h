#pragma once

#include "model/upstream.h"
#include "proxy/slot_gate.h"

#include <map>
#include <memory>
#include <string>

namespace galenaroad {

/// A backend server of this instance, as the owner's traffic threads see it.
struct local_upstream {
    upstream announced;
    std::string address; ///< IP address and port of the backend server.
    std::shared_ptr<slot_gate> gate;
};

/// Immutable snapshot of the backend servers of this instance, by name.
using local_upstreams = std::map<std::string, local_upstream>;

} // namespace galenaroad
