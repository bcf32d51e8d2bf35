#include "relay/condition_news.h"

#include <algorithm>

namespace galenaroad {

namespace {

using namespace std::chrono_literals;

// Times that each condition is told: with a few receivers each time, it reaches a data centre of
// hundreds of daemons within as many rounds as it is passed on.
constexpr int repeats = 2;
// Older conditions say little of an upstream.
constexpr auto longest_age = 2s;

} // namespace

bool condition_news::note(const std::string& owner, const owner_health& condition,
                          steady_time told_at)
{
    const auto [found, is_new] = m_owners.try_emplace(owner);
    if (!is_new && found->second.told_at >= told_at) {
        return false;
    }
    auto newer = condition;
    if (!is_new && !newer.last_outcome_age && found->second.condition.last_outcome_age) {
        // A refusal does not make the latest outcome unknown.
        const auto passed = told_at - found->second.told_at;
        newer.last_outcome_age = *found->second.condition.last_outcome_age +
                                 std::chrono::duration_cast<std::chrono::milliseconds>(passed);
    }
    found->second = {newer, told_at, repeats};
    return true;
}

std::vector<condition_item> condition_news::take(steady_time now)
{
    forget_old(now);
    std::vector<std::pair<const std::string, entry>*> due;
    for (auto& each : m_owners) {
        if (each.second.repeats_left > 0) {
            due.push_back(&each);
        }
    }
    std::sort(due.begin(), due.end(),
              [](const auto* a, const auto* b) { return a->second.told_at > b->second.told_at; });
    due.resize(std::min(due.size(), max_items));
    std::vector<condition_item> items;
    for (auto* const each : due) {
        --each->second.repeats_left;
        const auto age =
            std::chrono::duration_cast<std::chrono::milliseconds>(now - each->second.told_at);
        items.push_back({each->first, each->second.condition, age});
    }
    return items;
}

void condition_news::forget_old(steady_time now)
{
    for (auto each = m_owners.begin(); each != m_owners.end();) {
        each = now - each->second.told_at > longest_age ? m_owners.erase(each) : std::next(each);
    }
}

} // namespace galenaroad
