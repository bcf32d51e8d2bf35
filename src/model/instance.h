#pragma once

#include "model/upstream.h"

#include <cstdint>
#include <string>
#include <vector>

namespace galenaroad {

/// Where an instance stands.
struct data_centre {
    std::string region;
    std::string name;

    bool operator==(const data_centre& other) const
    {
        return region == other.region && name == other.name;
    }
};

/// Distance between two data centres, nearest first.
enum class link_distance { same_data_centre, same_region, cross_region };

/// Measures the distance between two data centres.
/// @param a one data centre.
/// @param b the other.
/// @return their distance.
inline link_distance distance_between(const data_centre& a, const data_centre& b)
{
    if (a.region != b.region) {
        return link_distance::cross_region;
    }
    return a.name == b.name ? link_distance::same_data_centre : link_distance::same_region;
}

/// State of an instance's daemon as other daemons know it.
enum class instance_state { alive, suspect, leaving, dead };

/// A backend server instance and its daemon, as the fleet knows them.
struct instance {
    std::string name;
    std::string peer_address; ///< IP number and port of the daemon's gRPC listener.
    data_centre location;
    std::uint64_t incarnation = 0; ///< Start of the daemon; a restarted daemon has a higher one.
    std::uint64_t version = 0;     ///< Version of this record within the incarnation.
    instance_state state = instance_state::alive;
    std::vector<upstream> upstreams;
};

} // namespace galenaroad
