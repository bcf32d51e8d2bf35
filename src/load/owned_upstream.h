#pragma once

#include "fleet/relay_message_codec.h"
#include "fleet/upstream_lifecycle.h"
#include "load/failure_estimator.h"
#include "load/owner_retry_budget.h"
#include "load/slot_admission.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace galenaroad {

/// Thresholds by which an owner decides whether its upstream is given a request.
///
/// A request that must not run twice is refused on moderate suspicion while its entry can still
/// find a healthy owner; when no owner is left, trying a suspect upstream is better than refusing
/// the request. Long waits absorb a burst, but under lasting overload only short waits let requests
/// be served in time.
struct owner_policy {
    failure_model failures;
    /// Failure probability above which a request that cannot be retried is refused while its entry
    /// is still searching for an owner that runs it at once.
    double search_refusal_threshold = 0.4;
    /// Failure probability above which such a request is refused even if its entry found no other
    /// owner.
    double last_resort_refusal_threshold = 0.9;
    /// Share of the time until the deadline for which a request may wait, and the maximum of that
    /// time. Both apply to requests with a shorter latency objective.
    double max_wait_share = 0.6;
    std::chrono::milliseconds max_useful_wait{2000};
    /// A queue that has existed for this long does not drain by itself. Waiting longer than
    /// `max_standing_queue_wait` in it delays all responses without serving more requests.
    std::chrono::milliseconds standing_queue_time{2000};
    std::chrono::milliseconds max_standing_queue_wait{1000};
};

/// Decision on a request for the owned upstream.
struct owner_decision {
    slot_verdict verdict = slot_verdict::refuse;
    owner_reason reason = owner_reason::none; ///< Set if the request is refused.
    std::chrono::milliseconds retry_after{0}; ///< Set if the request is refused.
    std::uint64_t ticket = 0;                 ///< Set if the request runs or waits.
};

/// Outcome of a request at the owned upstream.
enum class run_outcome {
    success,
    failure,      ///< Failed through the fault of the upstream.
    rejection,    ///< The upstream reports that it has not run the request.
    inconclusive, ///< Gives no evidence about the upstream.
};

/// Makes all decisions of an owner about its upstream, the backend server on the same instance:
/// whether it accepts a request, in which order requests wait, and what their outcomes say about
/// its health. Performs no I/O.
class owned_upstream {
public:
    /// @param time the clock; must outlive this object.
    /// @param retry_limits the retry budget of the fleet.
    /// @param policy thresholds for admission.
    owned_upstream(const clock& time, retry_budget_limits retry_limits, owner_policy policy = {});

    /// @return the upstream's lifecycle.
    const upstream_lifecycle& lifecycle() const { return m_lifecycle; }

    /// Processes a heartbeat of the upstream. If the upstream has been restarted, its history is
    /// discarded.
    lifecycle_change on_heartbeat(const upstream_heartbeat& heartbeat);

    /// Processes the announcement that an upstream leaves immediately.
    lifecycle_change on_departure(const std::string& id);

    /// Called when the daemon starts; see upstream_lifecycle::begin_restore().
    void begin_restore() { m_lifecycle.begin_restore(); }

    /// Restores the state that an earlier start of this daemon announced.
    void restore(const owner_record& record) { m_lifecycle.restore(record); }

    /// Called when the state that an earlier start announced is known.
    void finish_restore() { m_lifecycle.finish_restore(); }

    /// Called when the daemon begins to shut down. Until the given time only requests that can be
    /// retried are accepted. Without them, an upstream would get no request for about five seconds
    /// while its daemon is restarted. Entries are told not to send them while the retry budget
    /// has none left for those that the exit may interrupt.
    /// @param accepts_until time from which all requests are refused.
    void stop(steady_time accepts_until) { m_accepts_until = accepts_until; }

    /// Decides whether a request runs, waits or is refused.
    /// @param metadata metadata of the attempt.
    /// @param owners number of owners of its service.
    owner_decision admit(const attempt_metadata& metadata, int owners);

    /// Checks an admitted request again right before it is sent to the upstream.
    /// @return the reason to refuse the request, or `none`.
    owner_reason recheck(const attempt_metadata& metadata) const;

    /// @return the time within which a request must have waited and run.
    std::chrono::milliseconds wait_limit(const attempt_metadata& metadata) const;

    /// Removes the waiting requests that can no longer be served in time.
    /// @return their tickets.
    std::vector<std::uint64_t> take_unservable()
    {
        return m_slots.take_unservable(m_clock.steady_now());
    }

    /// @return the time after which a refused request may be sent again: the expected wait.
    std::chrono::milliseconds retry_after() const;

    /// Charges the retry of an attempt that failed at this upstream to this owner's share of the
    /// retry budget. Otherwise the owners of healthy upstreams, which receive the retries, would
    /// exhaust their shares while the shares of owners of suspect upstreams stayed unused.
    /// @return false if the share is exhausted; the owner that receives the retry may still grant
    /// it.
    bool grant_retry() { return m_retry_budget.try_acquire(m_owners, m_clock.steady_now()); }

    /// Takes back a retry that was granted and that nobody makes.
    void revoke_retry() { m_retry_budget.give_back(m_owners, m_clock.steady_now()); }

    /// Removes a waiting request.
    /// @return false if the request was not waiting.
    bool withdraw(std::uint64_t ticket);

    /// Records the end of a request that held a slot.
    /// @param route the request's route.
    /// @param service_time how long the request held the slot.
    /// @param outcome outcome of the request.
    void finish(const std::string& route, std::chrono::nanoseconds service_time,
                run_outcome outcome);

    /// Records that a running request takes far longer than usual, for example because the upstream
    /// hangs. The request counts as a failure until a response shows that the upstream was only
    /// slow.
    void record_overdue();

    /// Records that an overdue request has received a response or has ended.
    /// @param outcome_is_unknown true if its outcome will never be known, so that it keeps counting
    /// as a failure.
    void record_overdue_end(bool outcome_is_unknown);

    /// Records that the upstream did not accept a connection.
    void record_unreachable();

    /// Assigns a free slot to the first waiting request.
    /// @return the ticket of the request to run, or nothing.
    std::optional<std::uint64_t> next() { return m_slots.next(); }

    /// @return false while all requests are refused.
    bool accepts_requests() const;

    /// @return true while the daemon shuts down and accepts requests that can be retried.
    bool accepts_only_retryable() const;

    /// @return the probability in percent that the upstream fails or rejects a request.
    int failure_probability_percent() const;

    /// @param outcome outcome of the request whose response is being sent; `inconclusive` leaves
    /// the probability unchanged.
    /// @return the probability in percent after that outcome has been recorded.
    int failure_probability_percent_after(run_outcome outcome) const;

    /// @return the time since the latest outcome that gave evidence about the upstream; nothing
    /// before the first one.
    std::optional<std::chrono::milliseconds> last_outcome_age() const;

    /// @return the load in percent of the slots.
    int load_percent() const;

    /// @param route the request's route.
    /// @param latency_objective the time until the request's latency objective. It is the minimum
    /// for a route with few responses, whose service time is not known well.
    /// @return the time after which a running request is overdue.
    std::chrono::milliseconds overdue_time(const std::string& route,
                                           std::chrono::milliseconds latency_objective) const;

    /// @return the average time for which a request of the route holds a slot; the average over all
    /// routes if the route is unknown.
    std::chrono::milliseconds expected_service_time(const std::string& route) const;

    /// @return the average time for which a request holds a slot.
    std::chrono::milliseconds mean_service_time() const { return m_slots.mean_service_time(); }

private:
    /// Service times of the successful requests of one route.
    struct route_service_time {
        std::chrono::duration<double> average{0};
        int samples = 0;
    };

    owner_reason refusal_reason_for(const attempt_metadata& metadata) const;
    bool has_stopped_accepting() const;
    void record_service_time(const std::string& route, std::chrono::nanoseconds service_time);
    owner_decision refusal(owner_reason reason) const;

    const clock& m_clock;
    owner_policy m_policy;
    upstream_lifecycle m_lifecycle;
    slot_admission m_slots;
    std::map<std::string, route_service_time> m_route_service_times; ///< By route.
    failure_estimator m_estimator;
    failure_estimator m_settled_estimator; ///< Estimate without the currently overdue requests.
    int m_overdue_count = 0; ///< Running requests that are overdue and have no response.
    failure_estimator m_rejection_estimator;   ///< A rejected request can be retried safely.
    mutable owner_retry_budget m_retry_budget; ///< Refilled when it is read.
    std::uint64_t m_last_ticket = 0;
    int m_owners = 1; ///< Owners of the service, as of the latest request.
    /// Time of the latest outcome that was not inconclusive.
    std::optional<steady_time> m_last_outcome_at;
    steady_time m_avoided_until;
    std::optional<steady_time> m_accepts_until; ///< Set once the daemon shuts down.
};

} // namespace galenaroad
