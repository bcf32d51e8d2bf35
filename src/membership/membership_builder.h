#pragma once

#include "membership/membership.h"

#include <memory>
#include <string>

namespace galenaroad {

/// Builds a membership.
class membership_builder {
public:
    /// @param name the instance's name, unique in the fleet.
    membership_builder& name(std::string name);
    /// @param address IP address and port of this daemon's gRPC listener.
    membership_builder& peer_address(std::string address);
    /// @param location the data centre of the instance.
    membership_builder& location(data_centre location);
    /// @param values timeouts, limits and join ranges.
    membership_builder& settings(membership_settings values);
    /// @param values the event callbacks.
    membership_builder& hooks(membership_hooks values);
    /// @param source the clock; must outlive the membership.
    membership_builder& time(const clock& source);
    /// @param engine the random engine; must outlive the membership.
    membership_builder& random(random_engine& engine);

    /// @return the membership; its incarnation is derived from the current wall-clock time.
    /// @throws std::logic_error without a name, a clock or a random engine.
    std::unique_ptr<membership> build();

private:
    member_record m_identity;
    data_centre m_location;
    membership_settings m_settings;
    membership_hooks m_hooks;
    const clock* m_clock = nullptr;
    random_engine* m_random = nullptr;
};

} // namespace galenaroad
