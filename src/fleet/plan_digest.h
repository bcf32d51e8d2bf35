#pragma once

#include "fleet/plan_change.h"

#include <cstdint>
#include <string>

namespace galenaroad {

/// Checksums of the parts of a plan. Those of all parts are added up, so that the sum does not
/// depend on an order and follows from the parts that have changed. Parts that use no accounts have
/// the checksums of versions that know none, so that daemons of both agree on plans without them.
class plan_digest {
public:
    static std::uint64_t of(const route_rule& rule);
    static std::uint64_t of(const std::string& name, const service_rule& rule);
    static std::uint64_t of(const client_account& account);
    static std::uint64_t of(const plan_properties& properties);
};

} // namespace galenaroad
