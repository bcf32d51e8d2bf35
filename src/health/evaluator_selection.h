#pragma once

#include "model/upstream.h"

#include <optional>
#include <string>
#include <vector>

namespace galenaroad {

/// Selects the daemon that evaluates a service, by rendezvous hashing.
///
/// The evaluator of a service is the daemon that requests ejections for it. Daemons with different
/// views of the members may select different evaluators; the compare-and-set on the service's row
/// makes concurrent evaluators safe.
/// @param service the service.
/// @param owners names of the live instances that own upstreams of the service.
/// @return the name of the selected instance; empty when owners is empty.
std::optional<std::string> evaluator_of(const service_id& service,
                                        const std::vector<std::string>& owners);

} // namespace galenaroad
