#include "routing/upstream_selector.h"

#include <algorithm>

namespace galenaroad {

namespace {

// Keeps a candidate selectable when its preference is zero.
constexpr double min_weight = 0.001;

double weight_of(const upstream_candidate& candidate)
{
    return std::max(static_cast<double>(candidate.preference) * candidate.slots(), min_weight);
}

// The cost is 0 for an idle healthy upstream and 1 for a fully used one. A lowered preference adds
// to it.
double cost_of(const upstream_candidate& candidate, steady_time now)
{
    return candidate.load->utilisation(candidate.slots(), now) + 1.0 -
           static_cast<double>(candidate.preference);
}

} // namespace

const upstream_candidate* upstream_selector::select(const service_candidates& candidates,
                                                    const std::vector<upstream_id>& excluded,
                                                    steady_time now, random_engine& random) const
{
    const upstream_candidate* best = nullptr;
    for (const auto distance : {link_distance::same_data_centre, link_distance::same_region,
                                link_distance::cross_region}) {
        candidate_list tier;
        for (const auto& candidate : candidates.upstreams) {
            const bool tried = std::any_of(excluded.begin(), excluded.end(),
                                           [&](const auto& id) { return candidate.is(id); });
            if (candidate.distance == distance && !tried) {
                tier.push_back(&candidate);
            }
        }
        if (tier.empty()) {
            continue;
        }
        const auto* choice = pick_of_two(tier, now, random);
        if (best == nullptr || cost_of(*choice, now) + spill_margin <= cost_of(*best, now)) {
            best = choice;
        }
        if (cost_of(*best, now) < spill_cost) {
            break;
        }
    }
    return best;
}

const upstream_candidate* upstream_selector::pick_weighted(const candidate_list& tier,
                                                           random_engine& random)
{
    double total = 0;
    for (const auto* candidate : tier) {
        total += weight_of(*candidate);
    }
    double rest = std::uniform_real_distribution<double>(0, total)(random);
    for (const auto* candidate : tier) {
        rest -= weight_of(*candidate);
        if (rest <= 0) {
            return candidate;
        }
    }
    return tier.back();
}

const upstream_candidate* upstream_selector::pick_of_two(const candidate_list& tier,
                                                         steady_time now, random_engine& random)
{
    const auto* first = pick_weighted(tier, random);
    const auto* second = pick_weighted(tier, random);
    return cost_of(*second, now) < cost_of(*first, now) ? second : first;
}

} // namespace galenaroad
