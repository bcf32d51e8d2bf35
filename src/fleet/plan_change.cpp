#include "fleet/plan_change.h"

#include <iterator>

namespace galenaroad {

namespace {

template <typename Part>
void move_to(std::vector<Part>& to, std::vector<Part>& from)
{
    to.insert(to.end(), std::make_move_iterator(from.begin()), std::make_move_iterator(from.end()));
}

} // namespace

void plan_change::append(plan_change next)
{
    move_to(routes, next.routes);
    move_to(removed_routes, next.removed_routes);
    services.merge(next.services);
    move_to(removed_services, next.removed_services);
    move_to(accounts, next.accounts);
    move_to(removed_accounts, next.removed_accounts);
}

} // namespace galenaroad
