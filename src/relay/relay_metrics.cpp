#include "relay/relay_metrics.h"

namespace galenaroad {

relay_metrics::relay_metrics(metrics_registry& registry) : m_registry(registry) {}

void relay_metrics::record_response(const std::string& service, int status,
                                    std::chrono::nanoseconds elapsed)
{
    m_registry
        .counter("galenaroad_entry_answers_total", "Responses to clients by service and status.",
                 {{"service", service}, {"status", std::to_string(status)}})
        .Increment();
    observe(m_registry.latency("galenaroad_entry_seconds",
                               "Time from a client's request to the end of its response.",
                               {{"service", service}}),
            elapsed);
}

void relay_metrics::record_run(const std::string& service, const std::string& outcome,
                               std::chrono::nanoseconds elapsed)
{
    m_registry
        .counter("galenaroad_owner_runs_total", "Requests that the owned upstream received.",
                 {{"service", service}, {"outcome", outcome}})
        .Increment();
    observe(m_registry.latency(
                "galenaroad_owner_seconds",
                "Time from sending a request to the upstream to the end of the request."),
            elapsed);
}

void relay_metrics::record_refusal(const std::string& service, const std::string& reason)
{
    m_registry
        .counter("galenaroad_owner_refusals_total",
                 "Requests that the owner refused without running them.",
                 {{"service", service}, {"reason", reason}})
        .Increment();
}

void relay_metrics::record_probe(const std::string& service, const std::string& decision)
{
    m_registry
        .counter("galenaroad_entry_trials_total",
                 "Owner selections in which a suspect owner was due for a probe request.",
                 {{"service", service}, {"decision", decision}})
        .Increment();
}

void relay_metrics::record_identity_refusal(const std::string& reason)
{
    m_registry
        .counter("galenaroad_identity_refusals_total",
                 "Requests that could not be attributed to a client account.", {{"reason", reason}})
        .Increment();
}

void relay_metrics::record_response_query(const std::string& outcome)
{
    m_registry
        .counter("galenaroad_answer_queries_total",
                 "Queries for responses whose connection was lost, by outcome.",
                 {{"outcome", outcome}})
        .Increment();
}

void relay_metrics::record_store_call(const std::string& call, const std::string& outcome)
{
    m_registry
        .counter("galenaroad_store_calls_total", "Calls to the platform's store.",
                 {{"call", call}, {"outcome", outcome}})
        .Increment();
}

void relay_metrics::record_store_restore(std::uint64_t era)
{
    m_registry.gauge("galenaroad_store_era", "Era of the store since its latest restore.", {})
        .Set(static_cast<double>(era));
    m_registry
        .counter("galenaroad_store_restores_total",
                 "Times at which the store came back from an older copy.", {})
        .Increment();
}

void relay_metrics::record_rewritten_record()
{
    m_registry
        .counter("galenaroad_own_records_rewritten_total",
                 "Times at which the store had lost the record of this daemon.", {})
        .Increment();
}

void relay_metrics::record_health_report(const std::string& outcome)
{
    m_registry
        .counter("galenaroad_condition_messages_total", "Health report messages between daemons.",
                 {{"outcome", outcome}})
        .Increment();
}

void relay_metrics::record_quota_message(const std::string& outcome)
{
    m_registry
        .counter("galenaroad_quota_messages_total", "Messages between daemons on quotas.",
                 {{"outcome", outcome}})
        .Increment();
}

void relay_metrics::record_quota_decision(const std::string& decision)
{
    m_registry
        .counter("galenaroad_quota_decisions_total",
                 "Requests of accounts with a quota, by decision.", {{"decision", decision}})
        .Increment();
}

void relay_metrics::record_plan(std::uint64_t version, const std::string& source)
{
    m_registry.gauge("galenaroad_plan_version", "Version of the plan in force.", {})
        .Set(static_cast<double>(version));
    m_registry
        .counter("galenaroad_plans_taken_total", "Plans that came into force, by their source.",
                 {{"source", source}})
        .Increment();
}

void relay_metrics::record_plan_document(const std::string& decision, std::size_t bytes)
{
    m_registry
        .counter("galenaroad_plan_documents_total",
                 "Plans that were read from the store, by whether they were used.",
                 {{"decision", decision}})
        .Increment();
    m_registry
        .counter("galenaroad_plan_document_bytes_total", "Size of the plans read from the store.",
                 {})
        .Increment(static_cast<double>(bytes));
}

void relay_metrics::record_plan_page(const std::string& outcome, std::size_t bytes)
{
    m_registry
        .counter("galenaroad_plan_pages_total", "Requests to peers for pages of plans.",
                 {{"outcome", outcome}})
        .Increment();
    m_registry
        .counter("galenaroad_plan_page_bytes_total",
                 "Bytes received in responses to requests for pages of plans.", {})
        .Increment(static_cast<double>(bytes));
}

void relay_metrics::record_state_response(std::size_t bytes)
{
    m_registry
        .counter("galenaroad_state_response_bytes_total",
                 "Size of the responses to state requests of peers.", {})
        .Increment(static_cast<double>(bytes));
}

void relay_metrics::record_reported_plan(const std::string& decision)
{
    m_registry
        .counter("galenaroad_heard_plans_total",
                 "Newer plans reported by a peer, by whether they were requested from it.",
                 {{"decision", decision}})
        .Increment();
}

void relay_metrics::record_plan_source(bool has_source)
{
    m_registry
        .gauge("galenaroad_plan_has_source",
               "1 while the store or a store reader vouches for the plan in force, 0 otherwise.",
               {})
        .Set(has_source ? 1 : 0);
    if (!has_source) {
        m_registry
            .counter("galenaroad_plan_source_losses_total",
                     "Times at which nothing vouched for the plan in force any more.", {})
            .Increment();
    }
}

void relay_metrics::record_state_request(const std::string& purpose, const std::string& outcome)
{
    m_registry
        .counter("galenaroad_state_requests_total",
                 "State requests to peers that are not followed, by purpose and outcome.",
                 {{"purpose", purpose}, {"outcome", outcome}})
        .Increment();
}

void relay_metrics::record_departure_request(const std::string& purpose, const std::string& outcome)
{
    m_registry
        .counter("galenaroad_departure_requests_total",
                 "Requests to peers about departures, by purpose and outcome.",
                 {{"purpose", purpose}, {"outcome", outcome}})
        .Increment();
}

void relay_metrics::record_plan_errors(std::size_t count)
{
    m_registry
        .gauge("galenaroad_plan_faults", "Parts of the plan in force that could not be read.", {})
        .Set(static_cast<double>(count));
}

void relay_metrics::record_unreadable_plan()
{
    m_registry
        .counter("galenaroad_plans_unreadable_total", "Plans that could not be used at all.", {})
        .Increment();
}

} // namespace galenaroad
