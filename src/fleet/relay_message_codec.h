#pragma once

#include "fleet/routing_plan.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace galenaroad {

/// What an entry daemon sends to an owner with each attempt, in one header field.
struct attempt_metadata {
    static constexpr const char* header = "Galenaroad-Order";

    std::string attempt_id; ///< Unique; identifies the attempt when a lost response is queried.
    std::string service;
    std::string route; ///< Requests of one route are expected to take about the same time.
    std::string caller_service;
    std::string account;       ///< Name of the client account; empty without one.
    std::string entry_address; ///< Address at which peers reach the sender.
    std::chrono::milliseconds remaining{0};
    /// Time left to meet the latency objective; limits the wait for a slot.
    std::chrono::milliseconds objective_remaining{0};
    request_kind kind = request_kind::at_most_once;
    bool may_wait = false;  ///< It may wait for a slot; otherwise it is sent to another owner.
    int attempt = 1;        ///< 1 for the first upstream that the request is sent to.
    bool may_retry = false; ///< A retry may follow this attempt.
    /// A stopping owner may start the request although its exit may interrupt it: the sender can
    /// then send it to another owner.
    bool may_be_interrupted = false;
    /// The owner of the previous attempt has granted this retry from its share of the retry budget.
    bool retry_is_granted = false;
    int priority = 0;
    std::uint64_t plan_version = 0; ///< Version of the plan in force at the sender.
};

/// Outcome of an attempt at its owner.
enum class owner_result {
    answered, ///< The response is the upstream's.
    rejected, ///< The response is the upstream's; it states that the request has not run.
    not_run,  ///< The owner refused the request; it has not run and will not run.
    failed,   ///< The request may have run; there is no response.
};

/// Why an owner refused or failed a request.
enum class owner_reason {
    none,
    unknown_upstream, ///< This owner has no upstream of the service.
    draining,         ///< The upstream is draining.
    stopping,         ///< The owner is shutting down.
    in_doubt,         ///< The upstream is suspect.
    busy,             ///< No slot is free, or none would be in time.
    no_allowance,     ///< The retry budget is exhausted.
    expired,          ///< Too little time is left.
    unreachable,      ///< The upstream accepts no connection.
    connection_lost,  ///< The connection to the upstream ended before the response was complete.
    invalid_response, ///< The upstream sent something other than its own response.
    cancelled,        ///< The entry daemon's connection ended while the request waited.
    never_received,   ///< The request had not arrived when its response was queried.
    forgotten,        ///< The owner no longer knows the outcome of the request.
};

/// What an owner reports with each response, in one header field.
struct attempt_report {
    static constexpr const char* header = "Galenaroad-Report";

    owner_result result = owner_result::failed;
    owner_reason reason = owner_reason::none;
    int failing_percent = 0; ///< Estimated failure probability of the upstream.
    int load_percent = 0;    ///< Running and waiting requests, in percent of its slots.
    std::chrono::milliseconds retry_after{0};
    std::uint64_t plan_version = 0; ///< Version of the plan in force at the owner.
    std::string token;              ///< To be sent back with a response_query.
    bool grants_retry = false;      ///< The request may be retried without further retry budget.
    /// The owner is stopping and accepts only requests that can be retried.
    bool accepts_only_retryable = false;
};

/// @return false when the owner refuses all requests for now.
bool accepts_requests(const attempt_report& report);

/// Queries an owner for the response to a request whose connection was lost, in one header field.
/// A request that has not arrived before the query is never run.
struct response_query {
    static constexpr const char* header = "Galenaroad-Answer-Query";
    static constexpr const char* path = "/galenaroad/v1/answer";

    std::string attempt_id;
    std::string token; ///< The owner's latest token before the request was sent, or empty.
};

/// @return the name of a reason, for logs and between daemons.
std::string_view reason_name(owner_reason reason);

/// Encodes and decodes the messages in header fields as JSON arrays.
class relay_message_codec {
public:
    static std::string encode(const attempt_metadata& metadata);
    static std::string encode(const attempt_report& report);
    static std::string encode(const response_query& query);

    /// @return the metadata, or nothing when the text is not valid.
    static std::optional<attempt_metadata> decode_metadata(std::string_view text);

    /// @return the report, or nothing when the text is not valid.
    static std::optional<attempt_report> decode_report(std::string_view text);

    /// @return the query, or nothing when the text is not valid.
    static std::optional<response_query> decode_query(std::string_view text);
};

} // namespace galenaroad
