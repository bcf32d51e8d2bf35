#include "experiment/replay_scenario.h"

#include <algorithm>
#include <stdexcept>
#include <yaml-cpp/yaml.h>

namespace galenaroad {

namespace {

using std::chrono::milliseconds;

milliseconds ms_in(const YAML::Node& node, const char* key)
{
    return milliseconds(node[key].as<int>());
}

std::size_t service_index(const replay_scenario& scenario, const std::string& name)
{
    for (std::size_t index = 0; index < scenario.services.size(); ++index) {
        if (scenario.services[index].name == name) {
            return index;
        }
    }
    throw std::runtime_error("unknown service " + name);
}

request_kind kind_named(const std::string& name)
{
    if (name == "safe") {
        return request_kind::safe;
    }
    if (name == "download") {
        return request_kind::download;
    }
    if (name == "at_most_once") {
        return request_kind::at_most_once;
    }
    throw std::runtime_error("unknown kind of request " + name);
}

replay_fault::effect effect_named(const std::string& name)
{
    if (name == "fails") {
        return replay_fault::effect::fails;
    }
    if (name == "sheds") {
        return replay_fault::effect::sheds;
    }
    if (name == "slows") {
        return replay_fault::effect::slows;
    }
    if (name == "leaves") {
        return replay_fault::effect::leaves;
    }
    throw std::runtime_error("unknown effect " + name);
}

replay_service service_from(const YAML::Node& node)
{
    replay_service service;
    service.name = node["name"].as<std::string>();
    service.upstreams = node["upstreams"].as<int>();
    service.slots = node["slots"].as<int>();
    return service;
}

replay_kind kind_from(const replay_scenario& scenario, const YAML::Node& node)
{
    replay_kind kind;
    kind.name = node["name"].as<std::string>();
    kind.kind = kind_named(node["kind"].as<std::string>());
    kind.service = service_index(scenario, node["service"].as<std::string>());
    kind.rates = node["rates"].as<std::vector<double>>(std::vector<double>());
    kind.work = ms_in(node, "work_ms");
    kind.work_spread = node["work_spread"].as<double>();
    kind.failing_share = node["failing_share"].as<double>();
    kind.goal = ms_in(node, "goal_ms");
    kind.deadline = ms_in(node, "deadline_ms");
    kind.priority = node["priority"].as<int>();
    kind.worth = node["worth"].as<double>(0);
    kind.late_worth = node["late_worth"].as<double>(0);
    kind.answer_bytes = node["answer_bytes"].as<double>();
    kind.calls = node["calls"].as<std::string>("");
    kind.account = node["account"].as<std::string>("");
    kind.accounts = node["accounts"].as<int>(0);
    kind.account_skew = node["account_skew"].as<double>(0);
    kind.call_share = node["call_share"].as<double>(0);
    kind.call_count = node["call_count"].as<int>(1);
    return kind;
}

replay_fault fault_from(const replay_scenario& scenario, const YAML::Node& node)
{
    replay_fault fault;
    fault.what = effect_named(node["what"].as<std::string>());
    fault.service = service_index(scenario, node["service"].as<std::string>());
    fault.share = node["share"].as<double>();
    fault.strength = node["strength"].as<double>(0);
    fault.from = ms_in(node, "from_ms");
    fault.until = ms_in(node, "until_ms");
    return fault;
}

replay_scenario scenario_from(const YAML::Node& node)
{
    replay_scenario scenario;
    scenario.name = node["name"].as<std::string>();
    scenario.data_centres = node["data_centres"].as<int>(scenario.data_centres);
    scenario.data_centres_per_region =
        node["data_centres_per_region"].as<int>(scenario.data_centres_per_region);
    scenario.retry_extra = node["retry_extra"].as<double>();
    for (const auto& each : node["services"]) {
        scenario.services.push_back(service_from(each));
    }
    for (const auto& each : node["kinds"]) {
        scenario.kinds.push_back(kind_from(scenario, each));
    }
    for (const auto& each : node["faults"]) {
        scenario.faults.push_back(fault_from(scenario, each));
    }
    const auto noise = node["noise"];
    scenario.noise.share = noise["share"].as<double>();
    scenario.noise.period = ms_in(noise, "period_ms");
    scenario.noise.failing_share = noise["failing_share"].as<double>();
    return scenario;
}

} // namespace

std::chrono::seconds replay_scenario::length() const
{
    std::size_t longest = 0;
    for (const auto& kind : kinds) {
        longest = std::max(longest, kind.rates.size());
    }
    return std::chrono::seconds(longest);
}

replay_scenario replay_scenario::read(const std::string& path)
{
    try {
        return scenario_from(YAML::LoadFile(path));
    }
    catch (const std::exception& error) {
        throw std::runtime_error(path + ": " + error.what());
    }
}

} // namespace galenaroad
