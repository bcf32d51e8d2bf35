#include "experiment/fleet_history_checker.h"

#include <algorithm>
#include <array>
#include <map>

namespace galenaroad {

namespace {

std::string describe(const call_event& call)
{
    return call.daemon + " request '" + call.request_id + "' key '" + call.key + "' sent " +
           std::to_string(call.sent.count()) + " ms, ended " + std::to_string(call.ended.count()) +
           " ms, status " + std::to_string(call.status) + ' ' + call.error + ' ' + call.run +
           ", expected '" + call.expected + "' received '" + call.received + "', " +
           std::to_string(call.body) + " bytes";
}

bool is_success(const call_event& call)
{
    return call.status >= 200 && call.status < 300;
}

bool has_run(const std::vector<run_event>& runs, const std::string& request_id)
{
    return std::any_of(runs.begin(), runs.end(),
                       [&](const auto& run) { return run.request_id == request_id; });
}

} // namespace

std::vector<fleet_violation> fleet_history_checker::violations() const
{
    findings found;
    check_runs(found);
    check_refused_keys(found);
    for (const auto& call : m_history.calls) {
        check_call(call, found);
    }
    check_versions(found);
    for (const auto& accept : m_history.accepts) {
        check_acceptance(accept, found);
    }
    check_leaves(found);
    check_stops(found);
    return found;
}

std::set<fleet_rule> fleet_history_checker::broken_rules() const
{
    std::set<fleet_rule> rules;
    for (const auto& violation : violations()) {
        rules.insert(violation.rule);
    }
    return rules;
}

std::string fleet_history_checker::report() const
{
    std::string text;
    for (const auto& violation : violations()) {
        text += name_of(violation.rule) + ": " + violation.detail + '\n';
    }
    return text;
}

void fleet_history_checker::check_runs(findings& found) const
{
    std::map<std::string, int> counts;
    for (const auto& run : m_history.runs) {
        ++counts[run.key.empty() ? "request " + run.request_id : "key " + run.key];
    }
    for (const auto& [name, count] : counts) {
        if (count > 1) {
            found.push_back({fleet_rule::one_run, name + " ran " + std::to_string(count)});
        }
    }
}

// The run of a key belongs to one of its requests, which cannot all have been refused as not run.
void fleet_history_checker::check_refused_keys(findings& found) const
{
    std::map<std::string, bool> all_refused;
    for (const auto& call : m_history.calls) {
        auto& is_refused = all_refused.emplace(call.key, true).first->second;
        is_refused = is_refused && call.run == "not_run";
    }
    for (const auto& run : m_history.runs) {
        const auto calls = all_refused.find(run.key);
        if (!run.key.empty() && calls != all_refused.end() && calls->second) {
            found.push_back({fleet_rule::true_not_run, "key " + run.key + " ran"});
        }
    }
}

void fleet_history_checker::check_call(const call_event& call, findings& found) const
{
    const auto broken = [&](fleet_rule rule) { found.push_back({rule, describe(call)}); };
    if (call.run == "not_run" && has_run(m_history.runs, call.request_id)) {
        broken(fleet_rule::true_not_run);
    }
    if (is_success(call) && call.kind == call_kind::download &&
        (call.body != call.asked || call.received != call.expected)) {
        broken(fleet_rule::whole_download);
    }
    if (is_success(call) && call.kind != call_kind::download && call.received != call.expected) {
        broken(fleet_rule::own_response);
    }
    if (was_unreachable(call)) {
        return;
    }
    if (call.status == 0 && !call.has_head) {
        broken(fleet_rule::answered);
    }
    if (call.ended - call.sent > call.deadline + deadline_allowance) {
        broken(fleet_rule::in_time);
    }
}

void fleet_history_checker::check_versions(findings& found) const
{
    auto samples = m_history.versions;
    std::stable_sort(samples.begin(), samples.end(),
                     [](const auto& left, const auto& right) { return left.seen < right.seen; });
    std::map<std::string, std::int64_t> highest;
    for (const auto& sample : samples) {
        auto& known = highest[sample.daemon];
        if (sample.version < known) {
            found.push_back({fleet_rule::version_order,
                             sample.daemon + " fell to " + std::to_string(sample.version)});
        }
        known = std::max(known, sample.version);
    }
}

void fleet_history_checker::check_acceptance(const accept_event& accept, findings& found) const
{
    for (const auto& sample : m_history.versions) {
        if (sample.seen > due_time(accept, sample.daemon) && sample.version < accept.version) {
            found.push_back({fleet_rule::version_in_force,
                             sample.daemon + " had version " + std::to_string(sample.version) +
                                 " at " + std::to_string(sample.seen.count()) + " ms; version " +
                                 std::to_string(accept.version) + " was accepted at " +
                                 std::to_string(accept.accepted.count()) + " ms"});
        }
    }
}

// A stopped process cannot learn anything, so that its bound starts when it resumes.
history_time fleet_history_checker::due_time(const accept_event& accept,
                                             const std::string& daemon) const
{
    auto due = accept.accepted + news_bound;
    for (const auto& outage : m_history.outages) {
        if (outage.daemon == daemon && outage.from <= due && outage.until > accept.accepted) {
            due = std::max(due, outage.until + news_bound);
        }
    }
    return due;
}

void fleet_history_checker::check_leaves(findings& found) const
{
    for (const auto& leave : m_history.leaves) {
        std::int64_t first = -1;
        std::int64_t last = -1;
        for (const auto& sample : m_history.started) {
            if (sample.server == leave.server && sample.seen >= leave.announced + news_bound) {
                first = first < 0 ? sample.started : std::min(first, sample.started);
                last = std::max(last, sample.started);
            }
        }
        if (last > first) {
            found.push_back({fleet_rule::leaving_is_quiet,
                             leave.server + " started " + std::to_string(last - first)});
        }
    }
}

void fleet_history_checker::check_stops(findings& found) const
{
    for (const auto& stop : m_history.stops) {
        if (stop.exit_code != 0) {
            found.push_back({fleet_rule::stop_is_graceful,
                             stop.daemon + " exited with " + std::to_string(stop.exit_code)});
        }
        for (const auto& call : m_history.calls) {
            const bool in_flight =
                call.sent + in_flight_margin <= stop.signalled && call.ended >= stop.signalled;
            const bool is_refused = call.daemon == stop.daemon && call.error == "leaving";
            if (in_flight && (call.status == 0 || is_refused)) {
                found.push_back({fleet_rule::stop_is_graceful, describe(call)});
            }
        }
    }
}

bool fleet_history_checker::was_unreachable(const call_event& call) const
{
    const auto overlaps = [&](const auto& outage) {
        return outage.daemon == call.daemon && outage.from <= call.ended &&
               outage.until >= call.sent;
    };
    return std::any_of(m_history.outages.begin(), m_history.outages.end(), overlaps);
}

std::string fleet_history_checker::name_of(fleet_rule rule)
{
    static constexpr std::array names{
        "one_run", "true_not_run",  "whole_download",   "own_response",     "answered",
        "in_time", "version_order", "version_in_force", "leaving_is_quiet", "stop_is_graceful"};
    return names.at(static_cast<std::size_t>(rule));
}

} // namespace galenaroad
