#pragma once

#include "model/contract.h"

#include <string>
#include <vector>

namespace galenaroad {

/// Lists what differs between two versions of a contract, in a stable order. Services are matched
/// by name and routes by path prefix and methods, so that an insertion does not shift the rest.
/// @param before the earlier version.
/// @param after the later version.
/// @return one line for each difference, as `routes[/orders].timeout_ms: 2000 -> 3000`.
std::vector<std::string> contract_changes(const contract& before, const contract& after);

} // namespace galenaroad
