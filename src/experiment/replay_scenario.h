#pragma once

#include "fleet/routing_plan.h"

#include <chrono>
#include <string>
#include <vector>

namespace galenaroad {

/// A service of a replay. Its upstreams are spread evenly over the data centres.
struct replay_service {
    std::string name;
    int upstreams = 12;
    int slots = 7;
};

/// A kind of request of a replay.
struct replay_kind {
    std::string name;
    request_kind kind = request_kind::safe;
    std::size_t service = 0;           ///< Index of the service that runs it.
    std::vector<double> rates;         ///< Requests a second, for one second after another.
    std::chrono::milliseconds work{0}; ///< Average time for which it holds a slot.
    double work_spread = 0.5;          ///< Standard deviation of the logarithm of that time.
    double failing_share = 0;          ///< Part that fails at sound upstreams as well.
    std::chrono::milliseconds goal{0};
    std::chrono::milliseconds deadline{0};
    int priority = 0;
    double worth = 0;      ///< Credit of an answer within the goal.
    double late_worth = 0; ///< Credit of a later one.
    double answer_bytes = 0;
    std::string calls;       ///< Kind that its upstream calls while it works; empty for none.
    double call_share = 0;   ///< Part of the requests that make these calls.
    std::string account;     ///< The one client account that sends it, if not empty.
    int accounts = 0;        ///< Client accounts that send it, named 1, 2 and so on; 0 for none.
    double account_skew = 0; ///< Account n sends in proportion to n to the power of minus this.
    int call_count = 1;      ///< Calls that such a request makes, one after the other.
};

/// Upstreams of a service that differ from the others for some time.
struct replay_fault {
    enum class effect {
        fails, ///< Fail the part `strength` of their requests.
        sheds, ///< Reject that part as not run.
        slows, ///< Take `strength` times as long.
        leaves ///< Are gone.
    };

    effect what = effect::fails;
    std::size_t service = 0;
    double share = 0;    ///< Part of the service's upstreams.
    double strength = 0; ///< See effect.
    std::chrono::milliseconds from{0};
    std::chrono::milliseconds until{0};
};

/// How upstreams fail by themselves: in each period of its own, an upstream fails or is sound.
struct replay_noise {
    double share = 0; ///< Part of the periods in which it fails.
    std::chrono::milliseconds period{9000};
    double failing_share = 0; ///< Part of its requests that fail in such a period.
};

/// The load and the faults of one replay.
struct replay_scenario {
    std::string name;
    int data_centres = 6;
    int data_centres_per_region = 2;
    std::vector<replay_service> services;
    std::vector<replay_kind> kinds;
    std::vector<replay_fault> faults;
    replay_noise noise;
    double retry_extra = 58;

    /// @return the length of the longest list of rates.
    std::chrono::seconds length() const;

    /// Reads a scenario.
    /// @param path its YAML file.
    /// @return the scenario.
    /// @throw std::runtime_error with the file's name when it is not valid.
    static replay_scenario read(const std::string& path);
};

} // namespace galenaroad
