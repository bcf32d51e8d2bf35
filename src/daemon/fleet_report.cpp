#include "daemon/fleet_report.h"

#include <nlohmann/json.hpp>

namespace galenaroad {

namespace {

const char* state_name(instance_state state)
{
    switch (state) {
    case instance_state::alive:
        return "alive";
    case instance_state::suspect:
        return "suspect";
    case instance_state::leaving:
        return "leaving";
    case instance_state::dead:
        break;
    }
    return "dead";
}

const char* state_name(upstream_state state)
{
    switch (state) {
    case upstream_state::starting:
        return "starting";
    case upstream_state::serving:
        return "serving";
    case upstream_state::leaving:
        break;
    }
    return "leaving";
}

nlohmann::json describe(const member& known)
{
    auto upstreams = nlohmann::json::array();
    for (const auto& each : known.record->upstreams) {
        upstreams.push_back({{"name", each.name},
                             {"business", each.service->business},
                             {"service", each.service->service},
                             {"slots", each.slots},
                             {"state", state_name(each.state)}});
    }
    return {{"name", known.record->name},
            {"peer", known.record->peer_address},
            {"incarnation", known.record->incarnation},
            {"state", state_name(known.state)},
            {"upstreams", upstreams}};
}

} // namespace

std::string fleet_report(const fleet_view& view)
{
    auto members = nlohmann::json::array();
    auto contracts = nlohmann::json::object();
    if (view.members) {
        for (const auto& known : view.members->members()) {
            members.push_back(describe(known));
        }
    }
    if (view.contracts) {
        for (const auto& [business, held] : view.contracts->contracts) {
            contracts[business] = held->version;
        }
    }
    return nlohmann::json{{"ready", view.ready}, {"members", members}, {"contracts", contracts}}
        .dump();
}

} // namespace galenaroad
