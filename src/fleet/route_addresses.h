#pragma once

#include "fleet/routing_plan.h"
#include "fleet/shared_parts.h"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace galenaroad {

/// The routes of one version of the plan, found by host and prefix. It refers to routes that its
/// owner keeps. Copies share their parts.
class route_addresses {
public:
    /// @param rule a route; it is kept until remove() and as long as any copy has it.
    void add(const route_rule& rule);

    /// @param rule a route that was added.
    void remove(const route_rule& rule);

    /// @param host the host, in any case.
    /// @param prefix the prefix.
    /// @return the route, or null. Of several routes, the one with the greatest name.
    const route_rule* find(std::string_view host, std::string_view prefix) const;

private:
    struct entry {
        std::uint32_t hash; ///< Of the address.
        const route_rule* rule;
    };

    using part = std::vector<entry>; ///< In the order of the hashes.

    // A change copies the table of parts and one part, which are of similar size with some 80,000
    // routes.
    static constexpr std::size_t part_count = 512;

    static std::uint32_t hash_of(std::string_view host, std::string_view prefix);
    static part::const_iterator first_with(const part& entries, std::uint32_t hash);

    shared_parts<part, part_count> m_parts;
};

} // namespace galenaroad
