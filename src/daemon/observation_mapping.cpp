#include "daemon/observation_mapping.h"

namespace galenaroad {

namespace {

constexpr int too_many_requests = 429;
constexpr int first_server_error = 500;
constexpr int service_unavailable = 503;

attempt_outcome outcome_of(const attempt_result& result)
{
    if (result.ok()) {
        if (result.status == service_unavailable || result.status == too_many_requests) {
            return attempt_outcome::shed;
        }
        return result.status >= first_server_error ? attempt_outcome::failure
                                                   : attempt_outcome::success;
    }
    // What did not run says nothing about the upstream's work.
    return result.run == run_state::not_run ? attempt_outcome::shed : attempt_outcome::failure;
}

link_event link_event_of(const attempt_result& result)
{
    switch (result.kind) {
    case error_kind::peer_unreachable:
        return link_event::connection_failed;
    case error_kind::deadline_exceeded:
    case error_kind::outcome_unknown:
        return link_event::timed_out;
    default:
        return link_event::responded;
    }
}

// Long downloads are compared by the time to their first byte.
std::chrono::microseconds latency_of(request_class work, std::chrono::microseconds service_time,
                                     std::chrono::microseconds first_byte)
{
    return work == request_class::transfer ? first_byte : service_time;
}

} // namespace

attempt_observation observation_mapping::from_entry(const entry_observation& seen, steady_time now)
{
    attempt_observation made;
    made.service = seen.service;
    made.target = seen.target;
    made.link = link_event_of(seen.outcome);
    made.is_evidence = !seen.outcome.sink_gone;
    made.has_report = seen.outcome.ok();
    made.report = seen.report;
    // Without the owner's report the whole time is all that is known.
    const auto time = seen.outcome.ok() ? latency_of(seen.work, seen.service_time, seen.first_byte)
                                        : seen.elapsed;
    made.attempt = {seen.work, outcome_of(seen.outcome), now - seen.elapsed, time};
    return made;
}

attempt_observation observation_mapping::from_owner(const owner_observation& seen,
                                                    const std::string& instance, steady_time now)
{
    attempt_observation made;
    made.service = seen.service;
    made.target = {instance, seen.upstream};
    made.by_owner = true;
    made.is_evidence = !seen.outcome.sink_gone && seen.outcome.run != run_state::not_run;
    const auto time = latency_of(seen.work, seen.service_time, seen.outcome.first_byte);
    made.attempt = {seen.work, outcome_of(seen.outcome), now - seen.service_time, time};
    return made;
}

} // namespace galenaroad
