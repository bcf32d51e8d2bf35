#pragma once

#include <string>
#include <tuple>

namespace galenaroad {

/// Names a service of a business.
struct service_id {
    std::string business;
    std::string service;

    bool operator==(const service_id& other) const
    {
        return business == other.business && service == other.service;
    }
    bool operator!=(const service_id& other) const { return !(*this == other); }
    bool operator<(const service_id& other) const
    {
        return std::tie(business, service) < std::tie(other.business, other.service);
    }
};

/// Names an upstream: a backend server on an instance. Unique in the fleet.
struct upstream_id {
    std::string instance;
    std::string name;

    bool operator==(const upstream_id& other) const
    {
        return instance == other.instance && name == other.name;
    }
    bool operator!=(const upstream_id& other) const { return !(*this == other); }
    bool operator<(const upstream_id& other) const
    {
        return std::tie(instance, name) < std::tie(other.instance, other.name);
    }
};

/// State that a backend server announces for itself.
enum class upstream_state {
    starting, ///< Cold start: receives a trickle of work.
    serving,
    leaving, ///< Receives no new work.
};

/// A backend server as its instance's daemon announces it to the fleet.
struct upstream {
    upstream_id id;
    service_id service;
    int slots = 0;       ///< Requests that it can run at the same time.
    int connections = 0; ///< Connections that it can hold.
    upstream_state state = upstream_state::serving;
};

} // namespace galenaroad
