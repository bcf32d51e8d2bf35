#include "load/split_selector.h"

#include <algorithm>

namespace galenaroad {

const std::string& split_selector::choose(const route_rule& rule)
{
    if (rule.targets.size() == 1) {
        return rule.targets.front().service;
    }
    auto& state = m_states[rule.name];
    if (!has_same_targets(state, rule)) {
        state = {rule.targets, std::vector<double>(rule.targets.size(), 0)};
    }
    double total = 0;
    for (std::size_t index = 0; index < rule.targets.size(); ++index) {
        state.credit[index] += rule.targets[index].weight;
        total += rule.targets[index].weight;
    }
    const auto best = std::max_element(state.credit.begin(), state.credit.end());
    *best -= total;
    return rule.targets[static_cast<std::size_t>(best - state.credit.begin())].service;
}

bool split_selector::has_same_targets(const split_state& state, const route_rule& rule)
{
    return std::equal(state.targets.begin(), state.targets.end(), rule.targets.begin(),
                      rule.targets.end(), [](const auto& a, const auto& b) {
                          return a.service == b.service && a.weight == b.weight;
                      });
}

} // namespace galenaroad
