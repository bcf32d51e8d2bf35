#include "experiment/detection_scenario.h"

#include <cmath>

namespace galenaroad {

namespace {

using std::chrono::milliseconds;

// Detection windows hold 10 s; faults start after they are full.
constexpr milliseconds first_fault{12'000};
constexpr milliseconds fault_length{20'000};

int draw(random_engine& random, int limit)
{
    return std::uniform_int_distribution<int>(0, limit - 1)(random);
}

planned_fault usual_fault(fault_kind kind, double amount, random_engine& random)
{
    planned_fault fault;
    fault.kind = kind;
    fault.service = detection_parameters::faulty_service;
    fault.instance = draw(random, detection_parameters::instances);
    // Spread over a second, so that the phase of the control loops differs between seeds.
    fault.start = first_fault + milliseconds(draw(random, 1000));
    fault.end = fault.start + fault_length;
    fault.amount = amount;
    return fault;
}

planned_fault cut_between(planned_fault fault, random_engine& random)
{
    fault.kind = fault_kind::one_way_cut;
    const int distance = 1 + draw(random, detection_parameters::instances - 1);
    fault.sender = (fault.instance + distance) % detection_parameters::instances;
    return fault;
}

void add_crashes(std::vector<planned_fault>& plan, int count, milliseconds end)
{
    const planned_fault first = plan.front();
    for (int number = 1; number <= count; ++number) {
        planned_fault crash = first;
        crash.kind = fault_kind::crash;
        crash.instance = (first.instance + 3 * number) % detection_parameters::instances;
        crash.start = first.start + milliseconds(5'000 + 500 * number);
        crash.end = end;
        plan.push_back(crash);
    }
}

std::vector<planned_fault> combined_faults(const detection_parameters& parameters,
                                           random_engine& random)
{
    std::vector<planned_fault> plan;
    const int count = 2 + draw(random, 5);
    for (int number = 0; number < count; ++number) {
        const auto kind = static_cast<fault_kind>(draw(random, 8));
        const std::array<double, 8> amounts{4, 0.3, 10, 1, 1, 1, 1, 2};
        planned_fault fault = usual_fault(kind, amounts.at(static_cast<std::size_t>(kind)), random);
        fault.start = milliseconds(4'000 + draw(random, 4'000));
        fault.end = fault.start + milliseconds(3'000 + draw(random, 9'000));
        if (kind == fault_kind::crash) {
            fault.end = parameters.duration;
        }
        plan.push_back(kind == fault_kind::one_way_cut ? cut_between(fault, random) : fault);
    }
    return plan;
}

} // namespace

int detection_parameters::floor_slots() const
{
    return static_cast<int>(std::ceil(business.slots * instances * floor_share));
}

detection_settings detection_parameters::detector() const
{
    detection_settings settings = settings_for(business.policy);
    settings.evidence_threshold = threshold.value_or(settings.evidence_threshold);
    return settings;
}

std::array<business_size, 2> business_sizes()
{
    using std::chrono::microseconds;
    business_size tetteh;
    tetteh.name = "tetteh";
    business_size cista_pipa;
    cista_pipa.name = "cista-pipa";
    cista_pipa.slots = 3;
    cista_pipa.policy = detection_policy::careful;
    cista_pipa.between_data_centres = microseconds(1500);
    return {tetteh, cista_pipa};
}

std::vector<planned_fault> plan_faults(const detection_parameters& parameters,
                                       random_engine& random)
{
    std::vector<planned_fault> plan;
    switch (parameters.scenario) {
    case scenario_kind::healthy:
        break;
    case scenario_kind::slow_4:
        plan.push_back(usual_fault(fault_kind::slow, 4, random));
        break;
    case scenario_kind::slow_10:
        plan.push_back(usual_fault(fault_kind::slow, 10, random));
        break;
    case scenario_kind::failing:
        plan.push_back(usual_fault(fault_kind::failing, 0.3, random));
        break;
    case scenario_kind::flapping:
        plan.push_back(usual_fault(fault_kind::flapping, 10, random));
        plan.front().end = parameters.duration;
        break;
    case scenario_kind::freeze:
        plan.push_back(usual_fault(fault_kind::freeze, 1, random));
        break;
    case scenario_kind::one_way_cut:
        plan.push_back(cut_between(usual_fault(fault_kind::slow, 1, random), random));
        break;
    case scenario_kind::store_away:
        plan.push_back(usual_fault(fault_kind::slow, 4, random));
        plan.push_back(plan.front());
        plan.back().kind = fault_kind::store_away;
        break;
    case scenario_kind::crashes:
        plan.push_back(usual_fault(fault_kind::slow, 4, random));
        add_crashes(plan, 3, parameters.duration);
        break;
    case scenario_kind::overload:
        plan.push_back(usual_fault(fault_kind::overload, 2, random));
        break;
    case scenario_kind::combined:
        plan = combined_faults(parameters, random);
        break;
    }
    return plan;
}

std::string name_of(ejection_method method)
{
    const std::array<const char*, 4> names{"product", "none", "consecutive", "independent"};
    return names.at(static_cast<std::size_t>(method));
}

std::string name_of(scenario_kind scenario)
{
    const std::array<const char*, 11> names{"healthy",  "slow_4",   "slow_10",     "failing",
                                            "flapping", "freeze",   "one_way_cut", "store_away",
                                            "crashes",  "overload", "combined"};
    return names.at(static_cast<std::size_t>(scenario));
}

} // namespace galenaroad
