#pragma once

#include "base/clock.h"
#include "base/random_engine.h"
#include "health/detection_settings.h"

#include <array>
#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace galenaroad {

/// How upstreams are set aside in a run: the product or a baseline.
enum class ejection_method {
    product,     ///< Detection, steering, and ejection through the ledger.
    none,        ///< No ejection and no steering by health.
    consecutive, ///< Each daemon excludes an upstream for 30 s after five failures in a row.
    independent, ///< Each daemon excludes by its own detector, without the ledger and the floor.
};

/// What happens in a run.
enum class scenario_kind {
    healthy,
    slow_4,
    slow_10,
    failing,
    flapping,
    freeze,
    one_way_cut,
    store_away,
    crashes,
    overload,
    combined,
};

/// Kind of one fault in a plan.
enum class fault_kind { slow, failing, flapping, freeze, one_way_cut, store_away, crash, overload };

/// One fault, from `start` to `end` after the start of the run.
struct planned_fault {
    fault_kind kind = fault_kind::slow;
    int service = 0;
    int instance = 0; ///< Instance of the upstream; the receiver's for a cut.
    int sender = 0;   ///< For a cut: the daemon whose messages are lost.
    std::chrono::milliseconds start{0};
    std::chrono::milliseconds end{0};
    double amount = 1; ///< Factor of the service time or load, or share of failures.

    /// @param elapsed time since the start of the run.
    /// @return whether the fault is in force.
    bool is_active(std::chrono::nanoseconds elapsed) const
    {
        return elapsed >= start && elapsed < end;
    }
};

/// Sizes of a business, from section 1.1 of the design.
struct business_size {
    std::string name;
    int slots = 7;
    detection_policy policy = detection_policy::fast;
    std::chrono::microseconds within_data_centre{200};
    std::chrono::microseconds between_data_centres{1000};
    std::chrono::microseconds between_regions{12000};
};

/// Parameters of one run.
struct detection_parameters {
    static constexpr int services = 4;
    static constexpr int instances = 12; ///< Two in each of six data centres, two per region.
    /// Service of the planned faults.
    static constexpr int faulty_service = 1;

    business_size business;
    ejection_method method = ejection_method::product;
    scenario_kind scenario = scenario_kind::healthy;
    std::optional<double> threshold; ///< Replaces the policy's evidence threshold.
    double load = 0.6;               ///< Offered load as a share of the capacity.
    double floor_share = 0.75;       ///< Capacity floor as a share of the slots.
    std::chrono::seconds duration{45};
    unsigned seed = 1;

    /// @return the floor of each service in slots.
    int floor_slots() const;
    /// @return the settings of the business's policy with the threshold replaced, if given.
    detection_settings detector() const;
};

/// @param service the service's number.
/// @param instance the instance's number.
/// @return the position of an upstream in lists by service and instance.
inline std::size_t upstream_index(int service, int instance)
{
    return static_cast<std::size_t>(service) * detection_parameters::instances +
           static_cast<std::size_t>(instance);
}

/// @return the sizes of both businesses.
std::array<business_size, 2> business_sizes();

/// Plans the faults of a run.
/// @param parameters the run's parameters.
/// @param random the random engine.
/// @return the faults; the first one is the one whose detection is timed.
std::vector<planned_fault> plan_faults(const detection_parameters& parameters,
                                       random_engine& random);

/// @return the name as in the output.
std::string name_of(ejection_method method);
/// @copydoc name_of(ejection_method)
std::string name_of(scenario_kind scenario);

} // namespace galenaroad
