#pragma once

#include "base/log_level.h"
#include "model/instance.h"
#include "settings/address_range.h"

#include <string>
#include <vector>

namespace galenaroad {

/// Threads and connections that a daemon may use.
struct worker_limits {
    int entry_threads = 256; ///< Requests of callers handled at the same time.
    /// Streams of other daemons handled at the same time: 11 upstreams with 7 slots and queues of
    /// twice that need 231.
    int peer_threads = 256;
    int admin_threads = 4;            ///< Requests on the admin address at the same time.
    int max_queued_connections = 256; ///< Accepted connections that wait for an entry thread.
};

/// What a daemon is told when it starts. Read once; the contracts come from the fleet.
struct daemon_settings {
    std::string instance; ///< Name of the instance, unique in the fleet.
    data_centre location;
    std::string entry_address; ///< Where callers connect (HTTP). Port 0 picks a free port.
    std::string peer_address;  ///< Where other daemons connect (gRPC). Port 0 picks a free port.
    std::string admin_address; ///< For backend servers of the instance and operators (HTTP).
    std::vector<address_range> join_ranges; ///< Empty for the first daemon of a fleet.
    std::string table_service_address;
    std::string object_store_address;
    std::string spans_file;            ///< Where spans are appended; empty for no spans.
    log_level level = log_level::info; ///< Least severe log entries that are written.
    worker_limits workers;
    std::string contracts_folder; ///< Declarations to start with; empty for none.
};

} // namespace galenaroad
