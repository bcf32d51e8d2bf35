#pragma once

#include "model/contract.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace galenaroad {

/// A route with the business that declared it; empty when no route matches.
struct matched_route {
    std::string_view business;
    const route* declared = nullptr;

    explicit operator bool() const { return declared != nullptr; }
};

/// Immutable index of the routes of all contracts in force.
///
/// A lookup costs one hash lookup per path segment, independent of the number of routes.
class route_table {
public:
    /// Builds the index.
    /// @param contracts the contracts in force; the table shares their ownership.
    explicit route_table(std::vector<std::shared_ptr<const contract>> contracts);

    /// Finds the route with the longest path prefix that matches whole segments.
    /// @param host the host name of the request, without a port.
    /// @param method the HTTP method.
    /// @param path the path without the query.
    /// @return the route, or an empty match.
    matched_route match(std::string_view host, std::string_view method,
                        std::string_view path) const;

    /// @return the number of routes in the index.
    std::size_t size() const { return m_size; }

private:
    using prefix_index = std::unordered_map<std::string_view, std::vector<const route*>>;

    static const route* find_prefix(const prefix_index& index, std::string_view prefix,
                                    std::string_view method);

    std::vector<std::shared_ptr<const contract>> m_contracts;
    std::unordered_map<std::string_view, const contract*> m_hosts;
    std::unordered_map<const contract*, prefix_index> m_prefixes;
    std::size_t m_size = 0;
};

} // namespace galenaroad
