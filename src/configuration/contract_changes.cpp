#include "configuration/contract_changes.h"

#include "configuration/contract_json.h"

#include <map>
#include <nlohmann/json.hpp>
#include <utility>

namespace galenaroad {

namespace {

using nlohmann::json;
using leaves = std::map<std::string, std::string>;

void add_leaves(const std::string& path, const json& source, leaves& found)
{
    if (!source.is_object()) {
        found[path] = source.dump();
        return;
    }
    for (const auto& each : source.items()) {
        add_leaves(path + "." + each.key(), each.value(), found);
    }
}

std::string route_key(const json& route)
{
    auto key = route["path_prefix"].get<std::string>();
    for (const auto& method : route["methods"]) {
        key += " " + method.get<std::string>();
    }
    return key;
}

leaves leaves_of(const contract& value)
{
    auto source = json::parse(to_json(value));
    leaves found;
    for (const auto& each : source["services"]) {
        add_leaves("services[" + each["name"].get<std::string>() + "]", each, found);
    }
    for (const auto& each : source["routes"]) {
        add_leaves("routes[" + route_key(each) + "]", each, found);
    }
    // `version` and `writer` are left out, because they differ in every version.
    for (const auto* key : {"hosts", "sheet_date"}) {
        found[key] = source[key].dump();
    }
    return found;
}

} // namespace

std::vector<std::string> contract_changes(const contract& before, const contract& after)
{
    const auto old_leaves = leaves_of(before);
    const auto new_leaves = leaves_of(after);
    auto all = old_leaves;
    all.insert(new_leaves.begin(), new_leaves.end());
    std::vector<std::string> lines;
    for (const auto& each : all) {
        const auto old_leaf = old_leaves.find(each.first);
        const auto new_leaf = new_leaves.find(each.first);
        const auto from = old_leaf == old_leaves.end() ? "(none)" : old_leaf->second;
        const auto to = new_leaf == new_leaves.end() ? "(none)" : new_leaf->second;
        if (from != to) {
            auto line = each.first;
            line.append(": ").append(from).append(" -> ").append(to);
            lines.push_back(std::move(line));
        }
    }
    return lines;
}

} // namespace galenaroad
