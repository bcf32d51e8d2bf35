#pragma once

#include "fleet/plan_change.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace galenaroad {

/// Request for one page of the change that leads to a newer plan.
struct plan_page_request {
    std::uint64_t base_version = 0; ///< Of the plan in force there; 0 to get the whole plan.
    std::uint64_t version = 0;      ///< Wanted version; 0 for that of the peer.
    std::string position;           ///< Where the page begins; empty for the first page.
    std::string address;            ///< Where peers reach the requesting daemon.
};

/// One page of a change. The pages of a change have about the same size however large the plan is,
/// so that one time limit fits all and none keeps a link busy for long.
struct plan_page {
    plan_change part;          ///< The change, with the parts of this page only.
    std::string position;      ///< Where this page begins; empty for the first page.
    std::string next_position; ///< Where the next page begins; empty after the last page.
};

/// Response of a peer that sends pages to too many daemons already.
struct plan_page_refusal {
    std::vector<std::string> holders; ///< Daemons that have got the plan from this peer.
};

/// Encodes and decodes the exchange of plan pages between daemons: the request as the query string
/// of a request target, the response as compressed JSON.
class plan_page_codec {
public:
    /// Path of requests for plan pages.
    static constexpr const char* path = "/galenaroad/v2/plan";

    /// @return the request target: path and query.
    static std::string encode(const plan_page_request& request);

    /// @param target request target: path and query.
    /// @return the request, or nothing when the target is not a request for a plan page.
    static std::optional<plan_page_request> decode_request(const std::string& target);

    /// @return the response body.
    static std::string encode(const plan_page& page);

    /// @return the page, or nothing when the body is not valid.
    static std::optional<plan_page> decode_page(std::string_view body);

    /// @return the response body of a refusal.
    static std::string encode(const plan_page_refusal& refusal);

    /// @return the refusal; without holders when the body is not valid.
    static plan_page_refusal decode_refusal(std::string_view body);
};

} // namespace galenaroad
