#include "routing/route_table.h"

#include <algorithm>

namespace galenaroad {

namespace {

bool allows_method(const route& candidate, std::string_view method)
{
    if (candidate.methods.empty()) {
        return true;
    }
    return std::find(candidate.methods.begin(), candidate.methods.end(), method) !=
           candidate.methods.end();
}

std::string_view without_trailing_slash(std::string_view prefix)
{
    while (prefix.size() > 1 && prefix.back() == '/') {
        prefix.remove_suffix(1);
    }
    return prefix;
}

std::string_view parent_of(std::string_view path)
{
    const auto slash = path.rfind('/');
    if (slash == std::string_view::npos || path.size() <= 1) {
        return {};
    }
    return slash == 0 ? path.substr(0, 1) : path.substr(0, slash);
}

} // namespace

route_table::route_table(std::vector<std::shared_ptr<const contract>> contracts)
    : m_contracts(std::move(contracts))
{
    for (const auto& declared : m_contracts) {
        auto& index = m_prefixes[declared.get()];
        for (const auto& host : declared->hosts) {
            m_hosts.emplace(host, declared.get());
        }
        for (const auto& entry : declared->routes) {
            index[without_trailing_slash(entry.path_prefix)].push_back(&entry);
            ++m_size;
        }
    }
}

matched_route route_table::match(std::string_view host, std::string_view method,
                                 std::string_view path) const
{
    const auto owner = m_hosts.find(host);
    if (owner == m_hosts.end()) {
        return {};
    }
    const auto& index = m_prefixes.at(owner->second);
    for (auto prefix = without_trailing_slash(path); !prefix.empty(); prefix = parent_of(prefix)) {
        if (const auto* found = find_prefix(index, prefix, method)) {
            return {owner->second->business, found};
        }
    }
    return {};
}

const route* route_table::find_prefix(const prefix_index& index, std::string_view prefix,
                                      std::string_view method)
{
    const auto routes = index.find(prefix);
    if (routes == index.end()) {
        return nullptr;
    }
    const auto found =
        std::find_if(routes->second.begin(), routes->second.end(),
                     [&](const route* candidate) { return allows_method(*candidate, method); });
    return found == routes->second.end() ? nullptr : *found;
}

} // namespace galenaroad
