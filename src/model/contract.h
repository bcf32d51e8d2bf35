#pragma once

#include "model/upstream.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace galenaroad {

/// How the service's outlier detection weighs detection time against false ejections.
enum class detection_policy {
    fast,    ///< Short detection time first.
    careful, ///< Few false ejections first.
};

/// Kind of work that a route carries. Latencies are compared within a class only.
enum class request_class {
    read,
    action,   ///< Not idempotent.
    transfer, ///< Long download; only the time to the first byte is compared.
};

/// Maps requests to a service by method and path prefix.
struct route {
    std::string path_prefix;
    std::vector<std::string> methods; ///< Empty for all methods.
    std::string service;
    request_class work = request_class::read;
    bool once = false;         ///< At most once: retried only with proof that it did not run.
    bool key_required = false; ///< Requests without an Idempotency-Key header are refused.
    std::chrono::milliseconds timeout{2000};
    std::uint64_t max_body_bytes = 1U << 20U;
};

/// A service that callers reach, with the capacity that must stay in service.
struct service {
    std::string name;
    int floor_slots = 0; ///< Capacity floor, in slots.
    detection_policy policy = detection_policy::careful;
};

/// What a business's operators declare: one accepted version of it.
struct contract {
    std::string business;
    std::uint64_t version = 0;
    std::string writer;     ///< Identity of the write, by which its writer recognises it.
    std::string sheet_date; ///< Date of the planners' sheet in force, as YYYY-MM-DD; may be empty.
    std::vector<std::string> hosts; ///< Host names by which callers reach the business.
    std::vector<service> services;
    std::vector<route> routes;
};

} // namespace galenaroad
