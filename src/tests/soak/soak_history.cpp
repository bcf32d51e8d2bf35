#include "soak/soak_history.h"

#include <algorithm>

namespace galenaroad {

namespace {

bool promises_not_run(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

std::vector<std::string> soak_history::violations() const
{
    runs_by_request by_request;
    for (const auto& run : runs) {
        by_request[run.request].push_back(&run);
    }
    std::vector<std::string> found;
    for (const auto& request : requests) {
        check_execution(request, by_request, found);
        check_answer(request, found);
        check_plan(request, found);
        check_plan_kept(request, found);
        check_kept(request, by_request, found);
        check_stop(request, by_request, found);
    }
    for (const auto& run : runs) {
        const auto left = departures.find(run.upstream);
        if (left != departures.end() && run.started > left->second + change_time) {
            found.push_back("DRAIN " + run.request + " reached " + run.upstream +
                            " after its departure was acknowledged");
        }
    }
    for (const auto& row : rows) {
        check_row(row, found);
    }
    return found;
}

void soak_history::check_row(const soak_row_check& row, std::vector<std::string>& found) const
{
    const auto from = row.returned - contact_time;
    const bool is_excused = is_disturbed(row.daemon, from, row.checked) ||
                            is_disturbed(row.daemon + "/store", from, row.checked) ||
                            is_disturbed("store", row.returned, row.checked);
    if (!row.is_back && !is_excused) {
        found.push_back("ROW of " + row.daemon + " was not back after the store had come back");
    }
}

void soak_history::check_execution(const soak_request& request, const runs_by_request& all,
                                   std::vector<std::string>& found) const
{
    const auto ran = all.find(request.id);
    const std::size_t count = ran == all.end() ? 0 : ran->second.size();
    if (!request.may_repeat && count > 1) {
        found.push_back("TWICE " + request.id + " ran " + std::to_string(count) + " times");
    }
    if (!request.may_repeat && count > 0 && promises_not_run(request.status)) {
        found.push_back("REFUSED " + request.id + " got " + std::to_string(request.status) +
                        " and has run");
    }
    if (request.status == 200 && (!request.is_own_answer || count == 0)) {
        found.push_back("MIXED " + request.id + " got a success that is not its own answer");
    }
}

void soak_history::check_answer(const soak_request& request, std::vector<std::string>& found) const
{
    const auto due = request.sent + request.deadline + answer_slack;
    if ((request.has_ended && request.ended <= due) ||
        is_disturbed(request.daemon, request.sent, due)) {
        return;
    }
    found.push_back("LATE " + request.id + " had no answer half a second after its deadline");
}

void soak_history::check_plan(const soak_request& request, std::vector<std::string>& found) const
{
    const auto stored = plans.find(request.version);
    if (!request.is_new_route || request.status != 404 || stored == plans.end()) {
        return;
    }
    const auto from = request.sent - contact_time;
    const bool is_excused = is_disturbed(request.daemon, from, request.sent) ||
                            is_disturbed("store", from, request.sent);
    if (request.sent > stored->second + change_time && !is_excused) {
        found.push_back("CONFIG " + request.id + " got 404 on a route of version " +
                        std::to_string(request.version));
    }
}

// A daemon that has served a route does not lose it, whatever the store has: routes are never taken
// away here.
void soak_history::check_plan_kept(const soak_request& request,
                                   std::vector<std::string>& found) const
{
    if (request.status != 404) {
        return;
    }
    const bool has_served = std::any_of(requests.begin(), requests.end(), [&](const auto& each) {
        return each.daemon == request.daemon && each.status == 200 &&
               each.version >= request.version && each.ended < request.sent &&
               !is_disturbed(request.daemon, each.ended, request.ended);
    });
    if (has_served) {
        found.push_back("BACK " + request.id + " got 404 on a route of version " +
                        std::to_string(request.version) + " that " + request.daemon +
                        " had served");
    }
}

// The answer of an order is delivered although connections between daemons were lost.
void soak_history::check_kept(const soak_request& request, const runs_by_request& all,
                              std::vector<std::string>& found) const
{
    const auto ran = all.find(request.id);
    if (request.may_repeat || request.status == 200 || ran == all.end()) {
        return;
    }
    const auto& run = *ran->second.front();
    const auto due = request.sent + request.deadline;
    if (!run.succeeded || run.answered_at + fetch_time > due) {
        return;
    }
    const bool is_excused = is_disturbed(request.daemon, request.sent, due) ||
                            is_disturbed(run.owner, request.sent, due) ||
                            is_disturbed(run.owner + "/upstream", run.started, due) ||
                            is_disturbed(run.owner + "/peers", request.sent, due);
    if (!is_excused) {
        found.push_back("KEPT " + request.id + " ran at " + run.owner + " and its caller got " +
                        std::to_string(request.status));
    }
}

// A planned stop of the entry must not cut a request whose upstream has answered.
void soak_history::check_stop(const soak_request& request, const runs_by_request& all,
                              std::vector<std::string>& found) const
{
    const auto ran = all.find(request.id);
    if (request.status != 0 || !request.has_ended || ran == all.end() ||
        !ran->second.back()->answered) {
        return;
    }
    bool is_stopped = false;
    for (const auto& each : disturbances) {
        const bool overlaps =
            each.part == request.daemon && each.from <= request.ended && each.until >= request.sent;
        if (overlaps && !each.is_planned_stop) {
            return;
        }
        is_stopped = is_stopped || overlaps;
    }
    if (is_stopped) {
        found.push_back("LOST " + request.id + " was cut by the planned stop of " + request.daemon);
    }
}

bool soak_history::is_disturbed(const std::string& part, steady_time from, steady_time until) const
{
    return std::any_of(disturbances.begin(), disturbances.end(), [&](const auto& each) {
        return each.part == part && each.from <= until && each.until >= from;
    });
}

} // namespace galenaroad
