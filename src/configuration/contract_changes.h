#pragma once

#include "model/contract.h"

#include <string>
#include <vector>

namespace galenaroad {

/// Lists the differences between two versions of a contract, in a stable order. Services are
/// matched by name and routes by path prefix and methods, not by position, so that an insertion is
/// one difference.
/// @param before the earlier version.
/// @param after the later version.
/// @return one line per difference, as `routes[/orders].timeout_ms: 2000 -> 3000`.
std::vector<std::string> contract_changes(const contract& before, const contract& after);

} // namespace galenaroad
