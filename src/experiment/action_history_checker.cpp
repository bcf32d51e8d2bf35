#include "experiment/action_history_checker.h"

#include <algorithm>

namespace galenaroad {

namespace {

std::string full_key(const std::string& business, const std::string& key)
{
    return business + "/" + key;
}

} // namespace

void action_history_checker::started(const action_start& start)
{
    const std::lock_guard lock(m_mutex);
    m_keys[full_key(start.business, start.key)].starts.push_back(start);
}

void action_history_checker::responded(const std::string& business, const std::string& key,
                                       const std::string& body)
{
    const std::lock_guard lock(m_mutex);
    m_keys[full_key(business, key)].bodies.insert(body);
}

void action_history_checker::answered(const action_answer& answer)
{
    const std::lock_guard lock(m_mutex);
    m_answers.push_back(answer);
}

std::vector<action_violation> action_history_checker::violations() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<action_violation> found;
    for (const auto& [key, history] : m_keys) {
        if (history.starts.size() > 1) {
            found.push_back({action_rule::one_start, key, {}});
        }
    }
    for (const auto& answer : m_answers) {
        const auto of_answer = violations_of_answer(answer);
        found.insert(found.end(), of_answer.begin(), of_answer.end());
    }
    return found;
}

std::size_t action_history_checker::starts() const
{
    const std::lock_guard lock(m_mutex);
    std::size_t sum = 0;
    for (const auto& entry : m_keys) {
        sum += entry.second.starts.size();
    }
    return sum;
}

std::size_t action_history_checker::answers(run_state run) const
{
    const std::lock_guard lock(m_mutex);
    return static_cast<std::size_t>(
        std::count_if(m_answers.begin(), m_answers.end(),
                      [run](const auto& answer) { return answer.run == run; }));
}

std::vector<action_violation>
action_history_checker::violations_of_answer(const action_answer& answer) const
{
    const auto key = full_key(answer.business, answer.key);
    const auto& history = history_of(answer.business, answer.key);
    std::vector<action_violation> found;
    const auto break_rule = [&](action_rule rule) { found.push_back({rule, key, answer.request}); };
    const bool started =
        std::any_of(history.starts.begin(), history.starts.end(),
                    [&](const auto& start) { return start.request == answer.request; });
    if (answer.run == run_state::not_run && started) {
        break_rule(action_rule::true_not_run);
    }
    if (answer.run != run_state::completed) {
        return found;
    }
    if (history.starts.empty()) {
        break_rule(action_rule::started_first);
        return found;
    }
    if (history.bodies.count(answer.body) == 0) {
        break_rule(action_rule::own_response);
    }
    const bool bound =
        std::any_of(history.starts.begin(), history.starts.end(),
                    [&](const auto& start) { return start.digest == answer.digest; });
    if (!bound) {
        break_rule(action_rule::bound_to_digest);
    }
    return found;
}

const action_history_checker::key_history&
action_history_checker::history_of(const std::string& business, const std::string& key) const
{
    static const key_history nothing;
    const auto found = m_keys.find(full_key(business, key));
    return found == m_keys.end() ? nothing : found->second;
}

std::string action_rule_name(action_rule rule)
{
    switch (rule) {
    case action_rule::one_start:
        return "one_start";
    case action_rule::true_not_run:
        return "true_not_run";
    case action_rule::started_first:
        return "started_first";
    case action_rule::own_response:
        return "own_response";
    case action_rule::bound_to_digest:
        break;
    }
    return "bound_to_digest";
}

} // namespace galenaroad
