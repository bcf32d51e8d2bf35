#pragma once

#include "base/clock.h"
#include "health/service_health.h"
#include "peer/client_pool.h"
#include "proxy/answer_sink.h"
#include "proxy/entry_request.h"
#include "proxy/fleet_view.h"
#include "proxy/forward_attempt.h"
#include "proxy/id_source.h"
#include "proxy/open_attempt_table.h"
#include "proxy/replayable_body.h"
#include "proxy/retry_budgets.h"
#include "proxy/watchdog.h"

#include <functional>
#include <memory>
#include <vector>

namespace galenaroad {

/// What an entry daemon observes of one attempt, for health and metrics.
struct entry_observation {
    service_id service;
    upstream_id target;
    request_class work = request_class::read;
    attempt_result outcome;
    std::chrono::microseconds elapsed{0};
    std::chrono::microseconds service_time{0}; ///< As the owner reported it.
    std::chrono::microseconds first_byte{0};   ///< As the owner reported it.
    owner_assessment report;                   ///< Valid with a complete response.
};

/// Parts of the daemon that the entry role uses. All outlive the forwarder.
struct entry_parts {
    const clock& time;
    client_pool& clients;
    watchdog& guard;
    retry_budgets& budgets;
    id_source& ids;
    std::function<void(const entry_observation&)> observe;
    open_attempt_table& open;
    /// An owner holds a newer version of a contract; the address is the owner's.
    std::function<void(const contract_head&, const std::string& address)> heard;
};

/// A request with its route, ready to be forwarded.
struct forward_order {
    const entry_request& request;
    std::shared_ptr<const fleet_view> view;
    matched_route route;
    call_context context;
    /// Attempt id for all attempts of an action; a further attempt follows only on proof that the
    /// earlier one did not run. Empty for a new id with each attempt.
    std::string attempt_id;
    bool passed_on = false; ///< Another daemon has passed the request on to this one.
};

/// Forwards a request to owner daemons: selects upstreams, makes attempts and retries.
class forwarder {
public:
    /// @param parts what the entry role uses.
    explicit forwarder(entry_parts parts);

    /// Passes a request on to the daemon that issued its idempotency key.
    /// @param order the request.
    /// @param body its body.
    /// @param sink receives the response.
    /// @param issuer_address the issuer's peer address.
    /// @return the outcome.
    attempt_result pass_on(forward_order& order, replayable_body& body, answer_sink& sink,
                           const std::string& issuer_address);

    /// Forwards a request.
    /// @param order the request.
    /// @param body its body.
    /// @param sink receives the response.
    /// @return the outcome of the last attempt.
    attempt_result forward(forward_order& order, replayable_body& body, answer_sink& sink);

private:
    struct progress;

    const upstream_candidate* select(const forward_order& order, progress& state) const;
    attempt_result attempt(forward_order& order, const upstream_candidate& target,
                           replayable_body& body, answer_sink& sink, progress& state);
    attempt_result settle_by_fence(const forward_order& order, const upstream_candidate& target,
                                   const std::string& attempt_id, attempt_result outcome);
    bool may_retry(forward_order& order, const attempt_result& outcome, const replayable_body& body,
                   progress& state);
    static peer::RequestHead head_of(const forward_order& order);
    static std::string attempt_id_of(const forward_order& order, const progress& state);
    attempt_times times_of(const forward_order& order, const replayable_body& body,
                           const progress& state) const;
    void note_version(const forward_order& order, const upstream_candidate& target,
                      std::uint64_t version) const;
    void note_end(const forward_order& order, const upstream_candidate& target,
                  const forward_outcome& outcome, steady_time started);

    entry_parts m_parts;
};

} // namespace galenaroad
