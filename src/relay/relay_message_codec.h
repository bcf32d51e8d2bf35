#pragma once

#include "fleet/routing_plan.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace galenaroad {

/// What an entry daemon tells the owner with a request. Travels in one header field.
struct attempt_metadata {
    static constexpr const char* header = "Galenaroad-Order";

    std::string attempt_id; ///< Unique; a lost answer is asked for by it.
    std::string service;
    std::string route; ///< Requests of one route take about the same time.
    std::string caller_service;
    std::string entry_address; ///< At which peers reach the sender.
    std::chrono::milliseconds remaining{0};
    /// Time in which the response is worth most; the request does not wait beyond it.
    std::chrono::milliseconds objective_remaining{0};
    request_kind kind = request_kind::at_most_once;
    bool may_wait = false;  ///< It waits for a slot; otherwise it goes elsewhere.
    int attempt = 1;        ///< 1 for the first upstream that the request is sent to.
    bool may_retry = false; ///< Another attempt may follow this one.
    /// The owner of the attempt before has granted this one from its part of the retry budget.
    bool retry_is_granted = false;
    int priority = 0;
    std::uint64_t plan_version = 0; ///< Version that the sender has in force.
};

/// What became of a request at its owner.
enum class owner_result {
    answered, ///< The response is the upstream's.
    rejected, ///< The response is the upstream's, which says that the request has not run.
    not_run,  ///< The owner refused the request; it has not run and will not run.
    failed,   ///< The request may have run, and there is no response.
};

/// Why an owner refused or failed a request.
enum class owner_reason {
    none,
    unknown_upstream, ///< No upstream of the service is beside this owner.
    draining,         ///< The upstream is leaving.
    stopping,         ///< The owner is shutting down.
    in_doubt,         ///< The upstream may be failing.
    busy,             ///< No slot is free, or none would be in time.
    no_allowance,     ///< The retry budget is used up.
    expired,          ///< Too little time is left.
    unreachable,      ///< The upstream accepts no connection.
    connection_lost,  ///< The connection to the upstream ended before a whole response.
    invalid_response, ///< The upstream sent something else than a response of its own.
    cancelled,        ///< The connection of the entry daemon ended while the request waited.
    never_received,   ///< The request had not arrived when its answer was asked for.
    forgotten,        ///< The owner cannot tell any more what became of the request.
};

/// What an owner tells with each response. Travels in one header field.
struct attempt_report {
    static constexpr const char* header = "Galenaroad-Report";

    owner_result result = owner_result::failed;
    owner_reason reason = owner_reason::none;
    int failing_percent = 0; ///< Probability that the upstream is failing.
    int load_percent = 0;    ///< Running and waiting requests in relation to its slots.
    std::chrono::milliseconds retry_after{0};
    std::uint64_t plan_version = 0; ///< Version that the owner has in force.
    std::string token;              ///< To be sent back with an response_query.
    bool grants_retry = false;      ///< The request may be sent again without further allowance.
};

/// @return false when the owner refuses all requests for now.
bool accepts_requests(const attempt_report& report);

/// Asks an owner for the answer of a request whose connection was lost. Travels in one header
/// field. After it, a request that has not arrived yet is never run.
struct response_query {
    static constexpr const char* header = "Galenaroad-Answer-Query";
    static constexpr const char* path = "/galenaroad/v1/answer";

    std::string attempt_id;
    std::string token; ///< The latest one of the owner before the request was sent, or empty.
};

/// @return the name of a reason, for logs and between daemons.
std::string_view reason_name(owner_reason reason);

/// Serializes the messages that travel in header fields, as JSON.
class relay_message_codec {
public:
    static std::string encode(const attempt_metadata& metadata);
    static std::string encode(const attempt_report& report);
    static std::string encode(const response_query& query);

    /// @return the order, or nothing when the text is anything else.
    static std::optional<attempt_metadata> decode_metadata(std::string_view text);

    /// @return the report, or nothing when the text is anything else.
    static std::optional<attempt_report> decode_report(std::string_view text);

    /// @return the query, or nothing when the text is anything else.
    static std::optional<response_query> decode_query(std::string_view text);
};

} // namespace galenaroad
