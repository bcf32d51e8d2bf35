#include "fleet/plan_change.h"

namespace galenaroad {

std::vector<plan_part> parts_of(const plan_change& change)
{
    std::vector<plan_part> parts;
    const auto add = [&](plan_part::kind type, const std::string& name) {
        parts.push_back({type, name});
    };
    for (const auto& rule : change.routes) {
        add(plan_part::kind::route, rule.name);
    }
    for (const auto& name : change.removed_routes) {
        add(plan_part::kind::route, name);
    }
    for (const auto& [name, rule] : change.services) {
        add(plan_part::kind::service, name);
    }
    for (const auto& name : change.removed_services) {
        add(plan_part::kind::service, name);
    }
    for (const auto& account : change.accounts) {
        add(plan_part::kind::account, account.name);
    }
    for (const auto& name : change.removed_accounts) {
        add(plan_part::kind::account, name);
    }
    return parts;
}

} // namespace galenaroad
