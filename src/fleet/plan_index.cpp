#include "fleet/plan_index.h"

#include <Poco/String.h>

namespace galenaroad {

namespace {

std::string host_without_port(std::string_view host)
{
    return Poco::toLower(std::string(host.substr(0, host.find(':'))));
}

} // namespace

plan_index::plan_index(routing_plan plan) : m_plan(std::move(plan))
{
    for (const auto& rule : m_plan.routes) {
        m_hosts[Poco::toLower(rule.host)][rule.prefix] = &rule;
    }
}

const route_rule* plan_index::match(std::string_view host, std::string_view target) const
{
    const auto found = m_hosts.find(host_without_port(host));
    if (found == m_hosts.end()) {
        return nullptr;
    }
    auto prefix = target.substr(0, target.find('?'));
    // Prefixes end with a slash, so only the parts of the path up to a slash are looked up.
    while (!prefix.empty()) {
        const auto slash = prefix.rfind('/');
        if (slash == std::string_view::npos) {
            return nullptr;
        }
        const auto rule = found->second.find(prefix.substr(0, slash + 1));
        if (rule != found->second.end()) {
            return rule->second;
        }
        prefix = prefix.substr(0, slash);
    }
    return nullptr;
}

} // namespace galenaroad
