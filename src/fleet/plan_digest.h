#pragma once

#include "fleet/plan_change.h"

#include <cstdint>
#include <string>

namespace galenaroad {

/// Checksums of the parts of a plan. Those of all parts are added up, so that the sum does not
/// depend on an order and follows from the parts that have changed.
class plan_digest {
public:
    static std::uint64_t of(const route_rule& rule);
    static std::uint64_t of(const std::string& name, const service_rule& rule);
    static std::uint64_t of(const plan_properties& properties);
};

} // namespace galenaroad
