#include "settings/contract_writer.h"

#include "settings/contract_names.h"

#include <algorithm>
#include <tuple>
#include <yaml-cpp/yaml.h>

namespace galenaroad {

namespace {

void write_texts(YAML::Emitter& out, const char* key, const std::vector<std::string>& texts)
{
    if (!texts.empty()) {
        out << YAML::Key << key << YAML::Value << YAML::Flow << texts << YAML::Block;
    }
}

void write_service(YAML::Emitter& out, const service& entry)
{
    out << YAML::BeginMap;
    out << YAML::Key << "name" << YAML::Value << entry.name;
    out << YAML::Key << "floor_slots" << YAML::Value << entry.floor_slots;
    out << YAML::Key << "policy" << YAML::Value << name_of(entry.policy);
    out << YAML::EndMap;
}

void write_route(YAML::Emitter& out, const route& entry)
{
    out << YAML::BeginMap;
    out << YAML::Key << "prefix" << YAML::Value << entry.path_prefix;
    write_texts(out, "methods", entry.methods);
    out << YAML::Key << "service" << YAML::Value << entry.service;
    out << YAML::Key << "class" << YAML::Value << name_of(entry.work);
    out << YAML::Key << "once" << YAML::Value << entry.once;
    out << YAML::Key << "key_required" << YAML::Value << entry.key_required;
    out << YAML::Key << "timeout_ms" << YAML::Value << entry.timeout.count();
    out << YAML::Key << "max_body_bytes" << YAML::Value << entry.max_body_bytes;
    out << YAML::EndMap;
}

} // namespace

std::string contract_writer::to_yaml(const contract& value)
{
    const auto sorted = normalised(value);
    YAML::Emitter out;
    out << YAML::BeginMap;
    out << YAML::Key << "business" << YAML::Value << sorted.business;
    write_texts(out, "hosts", sorted.hosts);
    out << YAML::Key << "services" << YAML::Value << YAML::BeginSeq;
    for (const auto& entry : sorted.services) {
        write_service(out, entry);
    }
    out << YAML::EndSeq;
    out << YAML::Key << "routes" << YAML::Value << YAML::BeginSeq;
    for (const auto& entry : sorted.routes) {
        write_route(out, entry);
    }
    out << YAML::EndSeq << YAML::EndMap;
    return std::string(out.c_str()) + '\n';
}

contract contract_writer::normalised(contract value)
{
    std::sort(value.hosts.begin(), value.hosts.end());
    std::sort(value.services.begin(), value.services.end(),
              [](const service& left, const service& right) { return left.name < right.name; });
    for (auto& entry : value.routes) {
        std::sort(entry.methods.begin(), entry.methods.end());
    }
    std::sort(value.routes.begin(), value.routes.end(), [](const route& left, const route& right) {
        return std::tie(left.path_prefix, left.methods) <
               std::tie(right.path_prefix, right.methods);
    });
    return value;
}

} // namespace galenaroad
