#include "relay/owner_ranking.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace galenaroad {

namespace {

using namespace std::chrono_literals;

// All costs are in units of one failed request.
constexpr double default_failing = 0.2;
// An owner that has told nothing yet is asked soon: its upstream may have joined just now.
constexpr double untried_failing = 0.1;
// A request that can be sent again loses time and a further attempt only.
constexpr double repeated_failure_cost = 0.3;
// Time after which a used up retry budget has attempts again.
constexpr auto budget_recovery_time = 1s;
// What was known of an owner of this data centre is out of date after this time: a request that can
// be sent again finds out, so that no sound upstream is left without work.
constexpr auto overdue_age = 700ms;
// A doubtful one is tried this long after the latest outcome: requests that can be sent again may
// be rare, and one that has recovered must not be idle until the next of them comes.
constexpr auto trial_pause = 2s;
// One that has been in doubt for long most likely goes on failing, and then costs fewer requests.
constexpr auto long_doubt = 12s;
constexpr auto long_trial_pause = 3500ms;
constexpr double trial_priority = 1;
constexpr double doubtful = 0.4;
constexpr double load_cost = 0.15;
// Time after which what an owner told says little: upstreams start and stop failing within it.
constexpr auto condition_memory = 2s;
// For this long an owner is taken to answer as it has just told.
constexpr auto condition_validity = 600ms;
// A daemon that stops may be back, and its upstream sound, after this time.
constexpr auto leaving_validity = 1500ms;
// Price of a megabyte between data centres against that of a failed request.
constexpr double data_centre_cost_per_mb = 15;
constexpr double region_cost_per_mb = 20;
// Bytes of a request, its headers and those of its answer.
constexpr double exchange_bytes = 1500;
// Added delay counts a little even where bytes cost nothing.
constexpr double data_centre_delay_cost = 0.01;
constexpr double region_delay_cost = 0.04;
constexpr double random_cost = 0.02;
constexpr double bytes_per_mb = 1e6;
constexpr auto first_avoidance = 500ms;
constexpr auto longest_avoidance = 4000ms;

} // namespace

std::string_view trial_decision_name(trial_decision decision)
{
    switch (decision) {
    case trial_decision::none_due:
        return "none_due";
    case trial_decision::made:
        return "made";
    case trial_decision::no_budget:
        return "no_budget";
    }
    return "none_due";
}

owner_ranking::owner_ranking(daemon_location location, random_engine random)
    : m_location(std::move(location)), m_random(random)
{
}

owner_choice owner_ranking::choose(const owner_directory& directory, const owner_wish& wish,
                                   steady_time now)
{
    owner_choice best;
    double best_cost = 0;
    bool is_trial_due = false;
    for (const auto* const record : directory.ready_for(wish.service)) {
        if (wish.excluded.count(record->address) > 0 || !is_reachable(record->address, now) ||
            would_refuse(record->address, wish.skips, now)) {
            continue;
        }
        const auto* const view = told_view(record->address);
        const bool may_be_tried = wish.may_repeat && is_near(*record) && view != nullptr;
        is_trial_due = is_trial_due || (may_be_tried && is_due_for_trial(*view, now));
        const double each = cost(*record, wish, now);
        if (best.record == nullptr || each < best_cost) {
            best.record = record;
            best_cost = each;
        }
    }
    if (is_trial_due && !has_retry_budget(wish.service, now)) {
        best.trial = trial_decision::no_budget;
    }
    else if (is_trial_due) {
        best.trial = trial_decision::made;
        // Its outcome is not known yet; other requests do not have to find it out as well.
        m_views[best.record->address].tested_at = now;
    }
    return best;
}

void owner_ranking::note_condition(const std::string& address, const owner_condition& condition,
                                   steady_time now)
{
    note_news(address, condition, now);
    auto& view = m_views[address];
    view.failed_connections = 0;
    view.avoided_until = {};
}

void owner_ranking::note_news(const std::string& address, const owner_condition& condition,
                              steady_time told_at)
{
    auto& view = m_views[address];
    if (condition.tested_ago || !view.was_told) {
        const auto tested_at = told_at - condition.tested_ago.value_or(0ms);
        view.tested_at = std::max(view.tested_at, tested_at);
    }
    if (view.was_told && view.told_at > told_at) {
        return;
    }
    view.condition = condition;
    view.told_at = told_at;
    view.was_told = true;
    if (condition.failing <= doubtful) {
        view.in_doubt_since.reset();
    }
    else if (!view.in_doubt_since) {
        view.in_doubt_since = told_at;
    }
}

void owner_ranking::note_budget_used_up(const std::string& service, steady_time now)
{
    m_budget_used_up_at[service] = now;
}

void owner_ranking::note_unreachable(const std::string& address, steady_time now)
{
    auto& view = m_views[address];
    const auto avoidance = std::min<std::chrono::milliseconds>(
        first_avoidance * (1 << std::min(view.failed_connections, 3)), longest_avoidance);
    ++view.failed_connections;
    view.avoided_until = now + avoidance;
}

bool owner_ranking::is_reachable(const std::string& address, steady_time now) const
{
    const auto found = m_views.find(address);
    if (found == m_views.end()) {
        return true;
    }
    const auto& view = found->second;
    const bool takes_work = view.condition.takes_work || now - view.told_at > leaving_validity;
    return takes_work && view.avoided_until <= now;
}

bool owner_ranking::would_refuse(const std::string& address, condition_limits limits,
                                 steady_time now) const
{
    const auto* const view = told_view(address);
    if (view == nullptr || now - view->told_at > condition_validity) {
        return false;
    }
    const auto& told = view->condition;
    return told.failing > limits.failing || told.load >= limits.load;
}

double owner_ranking::cost(const owner_record& record, const owner_wish& wish, steady_time now)
{
    std::uniform_real_distribution<double> scatter(0, random_cost);
    const double way = way_cost(record, wish.payload_bytes) + scatter(m_random);
    const double failure = failure_cost(wish, now);
    const auto* const view = told_view(record.address);
    if (view == nullptr) {
        return wish.may_repeat && is_near(record) ? way : way + untried_failing * failure;
    }
    if (wish.may_repeat && is_near(record)) {
        if (is_due_for_trial(*view, now) && has_retry_budget(wish.service, now)) {
            return way - trial_priority;
        }
        if (is_out_of_date(*view, now)) {
            return way;
        }
    }
    const std::chrono::duration<double> age = now - view->told_at;
    const std::chrono::duration<double> memory = condition_memory;
    const double kept = std::exp(-age.count() / memory.count());
    const double failing = default_failing + (view->condition.failing - default_failing) * kept;
    return way + failing * failure + load_cost * view->condition.load * kept;
}

const owner_ranking::owner_view* owner_ranking::told_view(const std::string& address) const
{
    const auto found = m_views.find(address);
    return found != m_views.end() && found->second.was_told ? &found->second : nullptr;
}

bool owner_ranking::is_near(const owner_record& record) const
{
    return record.data_centre == m_location.data_centre;
}

bool owner_ranking::is_due_for_trial(const owner_view& view, steady_time now)
{
    if (!view.in_doubt_since) {
        return false;
    }
    const bool is_long_doubt = now - *view.in_doubt_since > long_doubt;
    const std::chrono::nanoseconds pause = is_long_doubt ? long_trial_pause : trial_pause;
    return now - view.tested_at > pause;
}

bool owner_ranking::is_out_of_date(const owner_view& view, steady_time now)
{
    return !view.in_doubt_since && now - view.told_at > overdue_age;
}

bool owner_ranking::has_retry_budget(const std::string& service, steady_time now) const
{
    const auto found = m_budget_used_up_at.find(service);
    return found == m_budget_used_up_at.end() || now - found->second > budget_recovery_time;
}

// A request that can be sent again risks less, as long as the retry budget has a further attempt.
double owner_ranking::failure_cost(const owner_wish& wish, steady_time now) const
{
    return wish.may_repeat && has_retry_budget(wish.service, now) ? repeated_failure_cost : 1;
}

double owner_ranking::way_cost(const owner_record& record, double payload_bytes) const
{
    if (is_near(record)) {
        return 0;
    }
    const double megabytes = (payload_bytes + exchange_bytes) / bytes_per_mb;
    if (record.region == m_location.region) {
        return data_centre_delay_cost + megabytes * data_centre_cost_per_mb;
    }
    return region_delay_cost + megabytes * region_cost_per_mb;
}

} // namespace galenaroad
