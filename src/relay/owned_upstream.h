#pragma once

#include "fleet/upstream_lifecycle.h"
#include "relay/failure_estimator.h"
#include "relay/owner_retry_budget.h"
#include "relay/relay_message_codec.h"
#include "relay/slot_admission.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace galenaroad {

/// How an owner judges its upstream.
///
/// Answers three loads. A request that must not run twice is refused for some doubt while its entry
/// can still find a sound owner; what comes back in a shortage is better tried than refused. A
/// burst is served by long waits; a lasting overload is served in time by short ones only.
struct owner_policy {
    failure_model failures;
    /// Probability of failing above which a request that cannot be sent again is refused while its
    /// entry looks for an owner that takes it at once.
    double search_refusal_threshold = 0.4;
    /// Probability above which it is better refused than failed, when no such owner was found.
    double last_resort_refusal_threshold = 0.9;
    /// Part of the time until its deadline in which a response is worth waiting for, and the
    /// longest such wait. Both hold for requests whose goal is shorter.
    double max_wait_share = 0.6;
    std::chrono::milliseconds max_useful_wait{2000};
    /// A queue that has stood for this long will not go by itself: waiting longer than this in it
    /// makes all answers late and serves no request more.
    std::chrono::milliseconds standing_queue_time{2000};
    std::chrono::milliseconds max_standing_queue_wait{1000};
};

/// Answer to a request that asks to be run by the owned upstream.
struct owner_decision {
    slot_verdict verdict = slot_verdict::refuse;
    owner_reason reason = owner_reason::none; ///< When refused.
    std::chrono::milliseconds retry_after{0}; ///< When refused.
    std::uint64_t ticket = 0;                 ///< When it runs or waits.
};

/// How a request at the owned upstream ended.
enum class run_outcome {
    success,
    failure,      ///< Through the upstream's own fault.
    rejection,    ///< The upstream says that it has not run the request.
    inconclusive, ///< Says nothing of the upstream.
};

/// Everything that the owner decides for the upstream beside it: whether it takes a request, in
/// which order requests wait, and what their outcomes say of the upstream. Has no input or output.
class owned_upstream {
public:
    /// @param time the clock; must outlive this object.
    /// @param bounds the fleet's retry budget.
    /// @param policy how it judges the upstream.
    owned_upstream(const clock& time, retry_budget_limits retry_limits, owner_policy policy = {});

    /// @return the upstream's lifecycle.
    const upstream_lifecycle& lifecycle() const { return m_lifecycle; }

    /// Takes a heartbeat. A new start of an upstream begins without any history.
    lifecycle_change on_heartbeat(const upstream_heartbeat& heartbeat);

    /// Takes the announcement that an upstream leaves at once.
    lifecycle_change on_departure(const std::string& id);

    /// Takes over what an earlier start of this daemon announced.
    void restore(const owner_record& record) { m_lifecycle.restore(record); }

    /// Refuses all further requests, because the daemon shuts down.
    void stop() { m_is_stopping = true; }

    /// Decides on a request.
    /// @param order the request.
    /// @param owners number of owners of its service.
    owner_decision admit(const attempt_metadata& metadata, int owners);

    /// Checks a request again at the moment at which it is sent to the upstream.
    /// @return the reason to refuse it, or `none`.
    owner_reason recheck(const attempt_metadata& metadata) const;

    /// @return the time for which a request may wait and be run.
    std::chrono::milliseconds wait_limit(const attempt_metadata& metadata) const;

    /// Takes out the waiting requests that will not be served in time any more.
    /// @return their tickets.
    std::vector<std::uint64_t> take_unservable()
    {
        return m_slots.take_unservable(m_clock.steady_now());
    }

    /// Grants the attempt that follows one at this upstream, from this owner's part of the retry
    /// budget. The owners that take such attempts would otherwise use up their parts, while those
    /// in doubt keep theirs.
    /// @return false when nothing is left; the next owner may still allow the attempt.
    bool grant_retry() { return m_retry_budget.try_acquire(m_owners, m_clock.steady_now()); }

    /// Takes a waiting request out.
    /// @return false when it was not waiting.
    bool withdraw(std::uint64_t ticket);

    /// Notes the end of a request that held a slot.
    /// @param route the request's route.
    /// @param served how long it held the slot.
    /// @param outcome how it ended.
    void finish(const std::string& route, std::chrono::nanoseconds service_time,
                run_outcome outcome);

    /// Notes that a running request takes far longer than usual, as when the upstream hangs. It
    /// counts as a failure until its response shows that the upstream was only slow.
    void record_overdue();

    /// Notes that a request which was overdue has a response or has ended.
    /// @param outcome_is_unknown its outcome will not be known, so that it goes on counting.
    void record_overdue_end(bool outcome_is_unknown);

    /// Notes that the upstream accepted no connection.
    void record_unreachable();

    /// Gives free slots to waiting requests.
    /// @return the ticket of the next request that runs, or nothing.
    std::optional<std::uint64_t> next() { return m_slots.next(); }

    /// @return false while all requests are refused.
    bool accepts_requests() const { return !m_is_stopping && m_lifecycle.serving() != nullptr; }

    /// @return probability that the upstream fails or rejects a request, in percent.
    int failure_probability_percent() const;

    /// @param outcome how a request ends that is being answered; anything but a success or a
    /// failure says nothing.
    /// @return the same once that outcome is noted.
    int failure_probability_percent_after(run_outcome outcome) const;

    /// @return the time since the outcome of a request last showed how the upstream is; nothing
    /// before the first one.
    std::optional<std::chrono::milliseconds> last_outcome_age() const;

    /// @return its load in percent of its slots.
    int load_percent() const;

    /// @param route the request's route.
    /// @param goal the time until the request's goal, which bounds what is known of a route that
    /// has had few answers.
    /// @return the time after which a running request is overdue.
    std::chrono::milliseconds overdue_time(const std::string& route,
                                           std::chrono::milliseconds latency_objective) const;

    /// @return the average time in which a request of a route holds a slot; that of all requests
    /// for a route that is not known.
    std::chrono::milliseconds expected_service_time(const std::string& route) const;

    /// @return the average time for which a request holds a slot.
    std::chrono::milliseconds mean_service_time() const { return m_slots.mean_service_time(); }

private:
    /// Service times of one route's requests that were answered.
    struct route_service_time {
        std::chrono::duration<double> average{0};
        int samples = 0;
    };

    owner_reason refusal_reason_for(const attempt_metadata& metadata) const;
    void record_service_time(const std::string& route, std::chrono::nanoseconds service_time);
    owner_decision refusal(owner_reason reason) const;

    const clock& m_clock;
    owner_policy m_policy;
    upstream_lifecycle m_lifecycle;
    slot_admission m_slots;
    std::map<std::string, route_service_time> m_route_service_times; ///< By route.
    failure_estimator m_estimator;
    failure_estimator m_settled_estimator; ///< The same without requests that are overdue now.
    int m_overdue_count = 0; ///< Running requests without a response that are overdue.
    failure_estimator m_rejection_estimator; ///< Rejections cost an attempt but do no harm.
    owner_retry_budget m_retry_budget;
    std::uint64_t m_last_ticket = 0;
    int m_owners = 1;                             ///< Of the service, as last told.
    std::optional<steady_time> m_last_outcome_at; ///< Latest outcome that is not inconclusive.
    steady_time m_avoided_until;
    bool m_is_stopping = false;
};

} // namespace galenaroad
