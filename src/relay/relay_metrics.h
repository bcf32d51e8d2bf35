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

    /// Notes a client's request that has been answered.
    /// @param service the service; empty when no route matched.
    /// @param status the status that the client received; 0 for a broken connection.
    /// @param elapsed from the arrival of the request.
    void record_response(const std::string& service, int status, std::chrono::nanoseconds elapsed);

    /// Notes a request that the owned upstream ran.
    /// @param service the upstream's service.
    /// @param outcome `success`, `failure`, `rejected` or `cancelled`.
    /// @param elapsed from the sending of the request.
    void record_run(const std::string& service, const std::string& outcome,
                    std::chrono::nanoseconds elapsed);

    /// Notes a refusal of the owner.
    /// @param service the service of the owned upstream.
    /// @param reason why.
    void record_refusal(const std::string& service, const std::string& reason);

    /// Notes a choice of the entry for which an owner in doubt was due for a trial.
    /// @param service the service of the request.
    /// @param decision `made` or `no_budget`.
    void record_probe(const std::string& service, const std::string& decision);

    /// Notes a query for the answer of a request whose connection was lost.
    /// @param outcome `kept`, `pending`, `not_run` or `unknown`.
    void record_response_query(const std::string& outcome);

    /// Notes a call to the store.
    /// @param call what it was for.
    /// @param outcome `ok` or what went wrong.
    void record_store_call(const std::string& call, const std::string& outcome);

    /// Notes a message with conditions of owners.
    /// @param outcome `sent`, `received`, `unreadable` or `not_sent`.
    void record_health_report(const std::string& outcome);

    /// Notes a plan that has come into force.
    /// @param version its version.
    /// @param source `store` or `peer`.
    void record_plan(std::uint64_t version, const std::string& source);

    /// Notes that a peer has told the version of a newer plan.
    /// @param decision `asked`, or `queued` while another peer is being asked.
    void record_reported_plan(const std::string& decision);

    /// Notes the number of faults of the plan in force.
    void record_plan_errors(std::size_t count);

    /// Notes a plan of which nothing could be used.
    void record_unreadable_plan();

private:
    metrics_registry& m_registry;
};

} // namespace galenaroad
