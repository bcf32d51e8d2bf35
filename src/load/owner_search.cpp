#include "load/owner_search.h"

#include <algorithm>

namespace galenaroad {

namespace {

constexpr int max_choosing_refusals = 3;
constexpr int max_busy_refusals = 2;
constexpr int max_waiting_refusals = 3;
// An owner that is stopping or has no upstream says nothing about the others. During a rolling
// restart many of them refuse before one is found that runs.
constexpr int max_leaving_refusals = 10;
// The failure probability equals owner_policy::search_refusal_threshold. At a load of up to 1.4,
// the queue is so short that the upstream still counts as free.
constexpr refusal_thresholds free_and_healthy{0.4, 1.4};

bool is_leaving(owner_reason reason)
{
    return reason == owner_reason::stopping || reason == owner_reason::draining ||
           reason == owner_reason::unknown_upstream;
}

bool may_accept_later(owner_reason reason)
{
    return reason == owner_reason::in_doubt || reason == owner_reason::busy;
}

} // namespace

owner_search::owner_search(const owner_directory& directory, owner_ranking& ranking)
    : m_directory(directory), m_ranking(ranking)
{
}

void owner_search::begin(const std::string& service, double payload_bytes)
{
    m_service = service;
    m_payload_bytes = payload_bytes;
}

void owner_search::restart()
{
    m_stage = search_stage::choosing;
    m_stage_refusals = 0;
    m_busy_refusals = 0;
    m_leaving_refusals = 0;
    m_unable.clear();
    m_refused.clear();
}

bool owner_search::has_alternative_to(const std::string& address, steady_time now) const
{
    const auto owners = m_directory.ready_for(m_service);
    return std::any_of(owners.begin(), owners.end(), [&](const auto* owner) {
        return owner->address != address && m_excluded.count(owner->address) == 0 &&
               m_unable.count(owner->address) == 0 && m_ranking.is_reachable(owner->address, now);
    });
}

const owner_record* owner_search::next(bool may_retry, steady_time now)
{
    const auto* const owner = choose(may_retry, now);
    if (owner != nullptr || m_stage == search_stage::waiting) {
        return owner;
    }
    enter_waiting_stage();
    return choose(may_retry, now);
}

const owner_record* owner_search::choose(bool may_retry, steady_time now)
{
    if (has_asked_enough()) {
        return nullptr;
    }
    owner_requirements requirements;
    requirements.service = m_service;
    requirements.excluded = m_excluded;
    requirements.excluded.insert(m_unable.begin(), m_unable.end());
    requirements.excluded.insert(m_refused.begin(), m_refused.end());
    requirements.payload_bytes = m_payload_bytes;
    requirements.thresholds =
        m_stage == search_stage::choosing ? free_and_healthy : refusal_thresholds{};
    requirements.may_retry = may_retry;
    requirements.avoids_stopping = m_avoids_stopping;
    const auto choice = m_ranking.choose(m_directory, requirements, now);
    m_probe = choice.probe;
    return choice.record;
}

bool owner_search::has_asked_enough() const
{
    if (m_leaving_refusals >= max_leaving_refusals) {
        return true;
    }
    if (m_stage == search_stage::choosing) {
        return m_stage_refusals >= max_choosing_refusals || m_busy_refusals >= max_busy_refusals;
    }
    return m_stage_refusals >= max_waiting_refusals;
}

// Owners that had no free slot may have room in their queue.
void owner_search::enter_waiting_stage()
{
    m_stage = search_stage::waiting;
    m_stage_refusals = 0;
    m_busy_refusals = 0;
    m_refused.clear();
}

void owner_search::record_refusal(const std::string& address, const attempt_report& report,
                                  steady_time now)
{
    if (report.reason == owner_reason::no_allowance) {
        m_ranking.record_budget_exhausted(m_service, now);
    }
    ++m_refusals;
    (is_leaving(report.reason) ? m_leaving_refusals : m_stage_refusals) += 1;
    m_busy_refusals += report.reason == owner_reason::busy ? 1 : 0;
    const bool is_first = m_refusals == 1;
    m_retry_after = is_first ? report.retry_after : std::min(m_retry_after, report.retry_after);
    (may_accept_later(report.reason) ? m_refused : m_unable).insert(address);
}

} // namespace galenaroad
