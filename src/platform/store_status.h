#pragma once

#include "base/error_kind.h"

namespace galenaroad {

/// HTTP statuses that the stores use.
namespace store_status {
constexpr int ok = 200;
constexpr int created = 201;
constexpr int no_content = 204;
constexpr int not_found = 404;
constexpr int precondition_failed = 412;
constexpr int too_many_requests = 429;
constexpr int service_unavailable = 503;
} // namespace store_status

/// Finds what the status of a write's response says about its effect.
/// @param status the HTTP status.
/// @return `ok` when it was applied. 429 and 503 refuse a request before its effect; other server
/// errors, such as 500 or 504, may follow it.
inline error_kind write_outcome(int status)
{
    switch (status) {
    case store_status::ok:
    case store_status::created:
    case store_status::no_content:
        return error_kind::ok;
    case store_status::precondition_failed:
        return error_kind::version_conflict;
    case store_status::too_many_requests:
    case store_status::service_unavailable:
        return error_kind::store_unavailable;
    default:
        return status >= 400 && status < 500 ? error_kind::internal : error_kind::outcome_unknown;
    }
}

} // namespace galenaroad
