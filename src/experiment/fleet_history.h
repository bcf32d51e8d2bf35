#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace galenaroad {

/// Time since the start of a history.
using history_time = std::chrono::milliseconds;

/// What a request asked for.
enum class call_kind { search, order, download };

/// A caller's request and its result.
struct call_event {
    call_kind kind = call_kind::search;
    std::string daemon;     ///< Entry that it was sent to.
    std::string request_id; ///< Id in the response; empty without a response.
    std::string key;        ///< Idempotency key, if any.
    history_time sent{0};
    history_time ended{0};
    history_time deadline{0}; ///< Time that the caller allowed.
    int status = 0;           ///< 0 when the connection ended without a whole response.
    bool has_head = false;    ///< The response's head arrived.
    std::string error;        ///< `kind` of a problem response.
    std::string run;          ///< `run` of a problem response.
    std::string expected;     ///< Query, key or checksum that a success must carry.
    std::string received;     ///< The same as found in the response.
    std::uint64_t asked = 0;  ///< Bytes that a download asked for.
    std::uint64_t body = 0;   ///< Bytes of the body.
};

/// An action that a backend server lists as started.
struct run_event {
    std::string server;
    std::string key;
    std::string request_id;
};

/// A daemon's configuration version at a time.
struct version_event {
    std::string daemon;
    std::int64_t version = 0;
    history_time seen{0};
};

/// A configuration version that was accepted.
struct accept_event {
    std::int64_t version = 0;
    history_time accepted{0};
};

/// A time in which a daemon's process could not respond: killed or stopped by a signal.
struct outage_event {
    std::string daemon;
    history_time from{0};
    history_time until{0};
};

/// A daemon that received SIGTERM.
struct stop_event {
    std::string daemon;
    history_time signalled{0};
    int exit_code = 0;
};

/// The number of requests that a backend server had started at a time.
struct started_event {
    std::string server;
    std::int64_t started = 0;
    history_time seen{0};
};

/// A backend server that announced that it leaves.
struct leave_event {
    std::string server;
    history_time announced{0};
};

/// What was seen of a fleet of processes.
struct fleet_history {
    std::vector<call_event> calls;
    std::vector<run_event> runs;
    std::vector<version_event> versions;
    std::vector<accept_event> accepts;
    std::vector<outage_event> outages;
    std::vector<stop_event> stops;
    std::vector<started_event> started;
    std::vector<leave_event> leaves;
};

} // namespace galenaroad
