#pragma once

#include "proxy/fleet_view.h"

#include <string>

namespace galenaroad {

/// Describes the fleet as a daemon knows it, for operators.
/// @param view the snapshot.
/// @return JSON text with members, their upstreams and the contract versions in force.
std::string fleet_report(const fleet_view& view);

} // namespace galenaroad
