#include "relay/owner_search.h"

#include <algorithm>

namespace galenaroad {

namespace {

constexpr int max_refusals = 3;
constexpr int max_busy_refusals = 2;
constexpr int max_late_refusals = 3;
// As owners refuse careful requests; a short queue still counts as free.
constexpr condition_limits free_and_sound{0.4, 1.4};

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

const owner_record* owner_search::next(bool may_repeat, steady_time now)
{
    const auto* const owner = choose(may_repeat, now);
    if (owner != nullptr || m_stage == search_stage::waiting) {
        return owner;
    }
    wait_for_slot();
    return choose(may_repeat, now);
}

const owner_record* owner_search::choose(bool may_repeat, steady_time now)
{
    if (has_asked_enough()) {
        return nullptr;
    }
    owner_wish wish;
    wish.service = m_service;
    wish.excluded = m_excluded;
    wish.excluded.insert(m_refused.begin(), m_refused.end());
    wish.payload_bytes = m_payload_bytes;
    wish.skips = m_stage == search_stage::choosing ? free_and_sound : condition_limits{};
    wish.may_repeat = may_repeat;
    const auto choice = m_ranking.choose(m_directory, wish, now);
    m_trial = choice.trial;
    return choice.record;
}

bool owner_search::has_asked_enough() const
{
    if (m_stage == search_stage::choosing) {
        return m_stage_refusals >= max_refusals || m_busy_refusals >= max_busy_refusals;
    }
    return m_stage_refusals >= max_late_refusals;
}

// Owners that had no free slot may have a place to wait.
void owner_search::wait_for_slot()
{
    m_stage = search_stage::waiting;
    m_stage_refusals = 0;
    m_busy_refusals = 0;
    m_refused.clear();
}

void owner_search::note_refusal(const std::string& address, const attempt_report& report,
                                steady_time now)
{
    if (report.reason == owner_reason::no_allowance) {
        m_ranking.note_budget_used_up(m_service, now);
    }
    ++m_refusals;
    ++m_stage_refusals;
    m_busy_refusals += report.reason == owner_reason::busy ? 1 : 0;
    const bool is_first = m_refusals == 1;
    m_retry_after = is_first ? report.retry_after : std::min(m_retry_after, report.retry_after);
    (may_accept_later(report.reason) ? m_refused : m_excluded).insert(address);
}

} // namespace galenaroad
