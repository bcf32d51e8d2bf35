#pragma once

#include "base/log_level.h"
#include "model/instance.h"
#include "settings/address_range.h"

#include <string>
#include <vector>

namespace galenaroad {

/// Limits of a daemon's threads and connections.
struct worker_limits {
    int entry_threads = 256; ///< Concurrent requests from callers.
    /// Concurrent streams from other daemons. 11 upstreams, each with 7 slots and a queue of 14
    /// requests, need 231.
    int peer_threads = 256;
    int admin_threads = 4;            ///< Concurrent requests on the admin address.
    int max_queued_connections = 256; ///< Accepted connections waiting for an entry thread.
};

/// Settings of a daemon, read once at the start. The contracts are not part of them; the daemon
/// receives them from the fleet.
struct daemon_settings {
    std::string instance; ///< Name of the instance, unique in the fleet.
    data_centre location;
    std::string
        entry_address; ///< Listening address for callers (HTTP). Port 0 selects a free port.
    std::string
        peer_address; ///< Listening address for other daemons (gRPC). Port 0 selects a free port.
    std::string admin_address; ///< Listening address for the instance's backend servers and
                               ///< operators (HTTP).
    std::vector<address_range> join_ranges; ///< Empty for the first daemon of a fleet.
    std::string table_service_address;
    std::string object_store_address;
    std::string spans_file;            ///< File that spans are appended to; empty for no spans.
    log_level level = log_level::info; ///< Minimum severity of log entries that are written.
    worker_limits workers;
    std::string contracts_folder; ///< Folder of initial declarations; empty for none.
};

} // namespace galenaroad
