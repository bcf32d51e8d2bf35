#pragma once

#include "telemetry/metrics_registry.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace galenaroad {

/// Counters and latency histograms of the request path.
class relay_metrics {
public:
    /// @param registry holds the metrics; must outlive this object.
    explicit relay_metrics(metrics_registry& registry);

    /// Records the response to a client's request.
    /// @param service the service; empty when no route matched.
    /// @param status the status that the client received; 0 when the response was aborted or the
    /// client left.
    /// @param elapsed time since the arrival of the request.
    void record_response(const std::string& service, int status, std::chrono::nanoseconds elapsed);

    /// Records a request that the owned upstream ran.
    /// @param service the upstream's service.
    /// @param outcome `success`, `failure`, `rejected` or `cancelled`.
    /// @param elapsed time since the request was sent.
    void record_run(const std::string& service, const std::string& outcome,
                    std::chrono::nanoseconds elapsed);

    /// Records a refusal by the owner.
    /// @param service the service of the owned upstream.
    /// @param reason name of the reason.
    void record_refusal(const std::string& service, const std::string& reason);

    /// Records a selection by the entry in which a suspect owner was due for a probe request.
    /// @param service the service of the request.
    /// @param decision `made` or `no_budget`.
    void record_probe(const std::string& service, const std::string& decision);

    /// Records a request that could not be attributed to a client account.
    /// @param reason name of the reason; see identity_error.
    void record_identity_refusal(const std::string& reason);

    /// Records a query for the response to a request whose connection was lost.
    /// @param outcome `kept`, `pending`, `not_run` or `unknown`.
    void record_response_query(const std::string& outcome);

    /// Records a call to the store.
    /// @param call purpose of the call.
    /// @param outcome `ok` or what went wrong.
    void record_store_call(const std::string& call, const std::string& outcome);

    /// Records that the store has come back from an older copy.
    /// @param era number of its era since then.
    void record_store_restore(std::uint64_t era);

    /// Records that the store had lost this owner's record, which is written again.
    void record_rewritten_record();

    /// Records a health report message.
    /// @param outcome `sent`, `received`, `unreadable` or `not_sent`.
    void record_health_report(const std::string& outcome);

    /// Records a message between daemons on quotas of accounts.
    /// @param outcome `asked`, `answered`, `forwarded`, `handover_asked`, `handover_answered`,
    /// `not_sent` or `unreadable`; `absent` when a connection has shown that a holder does not run.
    void record_quota_message(const std::string& outcome);

    /// Records whether a request was within the quota of its account.
    /// @param decision name of the decision.
    void record_quota_decision(const std::string& decision);

    /// Records a plan that has come into force.
    /// @param version its version.
    /// @param source `store` or `peer`.
    void record_plan(std::uint64_t version, const std::string& source);

    /// Records a plan that this daemon has read from the store.
    /// @param decision `used`, or `known` when the plan in force is not older.
    /// @param bytes size of the plan's text.
    void record_plan_document(const std::string& decision, std::size_t bytes);

    /// Records a request to a peer for a page of a plan.
    /// @param outcome `ok`, `refused`, `not_newer`, `superseded`, `failed` or `not_sent`.
    /// @param bytes size of what was received.
    void record_plan_page(const std::string& outcome, std::size_t bytes);

    /// Records a response to a state request of a peer.
    /// @param bytes size of its body.
    void record_state_response(std::size_t bytes);

    /// Records that a peer has reported the version of a newer plan.
    /// @param decision `asked`, or `queued` while another peer is being asked.
    void record_reported_plan(const std::string& decision);

    /// Records whether the store or a fresh store reader vouches for the plan in force.
    /// @param has_source true when one does.
    void record_plan_source(bool has_source);

    /// Records a state request to a peer that this daemon does not follow.
    /// @param purpose `fetch`, `poll` or `announce`.
    /// @param outcome `ok`, `failed` or `not_sent`.
    void record_state_request(const std::string& purpose, const std::string& outcome);

    /// Records a request to a peer about a departure.
    /// @param purpose `replicate`, `store` when the peer is to write the record, or `query`.
    /// @param outcome `ok`, `stored` when the store has the record, `outdated` when the peer has a
    /// later record, `unknown` when it has none, or `failed`.
    void record_departure_request(const std::string& purpose, const std::string& outcome);

    /// Records the number of errors in the plan in force.
    void record_plan_errors(std::size_t count);

    /// Records a plan that could not be used at all.
    void record_unreadable_plan();

private:
    metrics_registry& m_registry;
};

} // namespace galenaroad
