#include "settings/contract_loader.h"

#include "settings/contract_names.h"
#include "settings/nearest_name.h"
#include "settings/yaml_section.h"

#include <algorithm>
#include <cctype>
#include <set>

namespace galenaroad {

namespace {

constexpr number_range slots_range{0, 1'000'000};
constexpr number_range timeout_range_ms{1, 3'600'000};
constexpr std::size_t max_name_bytes = 63;
constexpr number_range body_range_bytes{0, 1LL << 40};

/// Positions in the file of each route's prefix and service, for errors that are found only after
/// the whole declaration has been read.
struct route_positions {
    std::vector<YAML::Mark> routes;
    std::vector<YAML::Mark> services;
};

bool is_name_character(char character)
{
    const auto byte = static_cast<unsigned char>(character);
    // Bytes from 0x80 belong to non-ASCII letters, which are allowed in names.
    return std::islower(byte) != 0 || std::isdigit(byte) != 0 || byte >= 0x80U || byte == '-';
}

std::string name_error(const std::string& text)
{
    const bool is_name = text.size() <= max_name_bytes && text.front() != '-' &&
                         std::all_of(text.begin(), text.end(), is_name_character);
    return is_name ? std::string()
                   : "must be 1 to 63 bytes of lower-case letters, digits and hyphens";
}

std::string prefix_error(const std::string& text)
{
    if (text.front() != '/') {
        return "must start with /";
    }
    const bool has_other = text.find_first_of("?# \t") != std::string::npos;
    return has_other ? "must be a path without query, fragment or spaces" : std::string();
}

void read_service(yaml_section& section, contract& output)
{
    service entry;
    section.require({"name", "floor_slots"});
    section.checked_text("name", entry.name, name_error);
    section.number("floor_slots", entry.floor_slots, slots_range);
    int policy = static_cast<int>(entry.policy);
    section.choice("policy", policy, policy_names());
    entry.policy = static_cast<detection_policy>(policy);
    const auto same_name = [&](const service& other) { return other.name == entry.name; };
    if (!entry.name.empty() &&
        std::any_of(output.services.begin(), output.services.end(), same_name)) {
        section.add_error("name", "the service \"" + entry.name + "\" is declared twice");
    }
    output.services.push_back(std::move(entry));
}

void read_methods(yaml_section& section, route& entry)
{
    section.texts("methods", entry.methods);
    std::set<std::string> seen;
    for (const auto& method : entry.methods) {
        const auto& known = method_names();
        if (std::find(known.begin(), known.end(), method) == known.end()) {
            section.add_error("methods", "unknown method \"" + method + "\"; did you mean \"" +
                                             nearest_name(method, known) + "\"?");
        }
        if (!seen.insert(method).second) {
            section.add_error("methods", "the method \"" + method + "\" is named twice");
        }
    }
    std::sort(entry.methods.begin(), entry.methods.end());
}

void read_work(yaml_section& section, route& entry)
{
    int work = static_cast<int>(entry.work);
    section.choice("class", work, class_names());
    entry.work = static_cast<request_class>(work);
    section.boolean("once", entry.once);
    section.boolean("key_required", entry.key_required);
    if (entry.once && entry.work != request_class::action) {
        section.add_error("once", "\"once\" needs \"class: action\"");
    }
    if (entry.key_required && !entry.once) {
        section.add_error("key_required", "\"key_required\" needs \"once: true\"");
    }
}

void read_route(yaml_section& section, contract& output, route_positions& positions)
{
    route entry;
    section.require({"prefix", "service"});
    section.checked_text("prefix", entry.path_prefix, prefix_error);
    section.text("service", entry.service);
    read_methods(section, entry);
    read_work(section, entry);
    section.milliseconds("timeout_ms", entry.timeout, timeout_range_ms);
    auto max_body = static_cast<std::int64_t>(entry.max_body_bytes);
    section.number("max_body_bytes", max_body, body_range_bytes);
    entry.max_body_bytes = static_cast<std::uint64_t>(max_body);
    positions.routes.push_back(section.mark("prefix"));
    positions.services.push_back(section.mark("service"));
    output.routes.push_back(std::move(entry));
}

bool methods_overlap(const route& left, const route& right)
{
    if (left.methods.empty() || right.methods.empty()) {
        return left.methods.empty() && right.methods.empty();
    }
    return std::any_of(left.methods.begin(), left.methods.end(), [&](const auto& method) {
        return std::find(right.methods.begin(), right.methods.end(), method) != right.methods.end();
    });
}

void check_routes(const contract& output, const route_positions& positions, yaml_errors& errors)
{
    std::vector<std::string> names;
    for (const auto& entry : output.services) {
        names.push_back(entry.name);
    }
    for (std::size_t i = 0; i < output.routes.size(); ++i) {
        const auto& entry = output.routes[i];
        if (!entry.service.empty() &&
            std::find(names.begin(), names.end(), entry.service) == names.end()) {
            const auto nearest = nearest_name(entry.service, names);
            errors.add(positions.services[i],
                       "the service \"" + entry.service + "\" is not declared" +
                           (nearest.empty() ? "" : "; did you mean \"" + nearest + "\"?"));
        }
        for (std::size_t j = 0; j < i; ++j) {
            const auto& earlier = output.routes[j];
            if (!entry.path_prefix.empty() && earlier.path_prefix == entry.path_prefix &&
                methods_overlap(earlier, entry)) {
                errors.add(positions.routes[i], "the prefix \"" + entry.path_prefix +
                                                    "\" is declared twice for the same method");
            }
        }
    }
}

void read_contract(yaml_section& root, contract& output, route_positions& positions)
{
    root.require({"business", "services", "routes"});
    root.checked_text("business", output.business, name_error);
    root.texts("hosts", output.hosts);
    std::sort(output.hosts.begin(), output.hosts.end());
    if (std::adjacent_find(output.hosts.begin(), output.hosts.end()) != output.hosts.end()) {
        root.add_error("hosts", "a host is named twice");
    }
    root.sections("services", [&](yaml_section& section) { read_service(section, output); });
    root.sections("routes", [&](yaml_section& section) { read_route(section, output, positions); });
}

} // namespace

load_result<contract> contract_loader::load_file(const std::string& path)
{
    const auto text = read_file(path);
    if (!text) {
        return tl::make_unexpected(text.error());
    }
    return load_text(path, *text);
}

load_result<contract> contract_loader::load_text(const std::string& file, const std::string& text)
{
    contract output;
    auto errors = read_yaml(file, text, [&](yaml_section& root) {
        route_positions positions;
        read_contract(root, output, positions);
        check_routes(output, positions, root.errors());
    });
    if (!errors.empty()) {
        return tl::make_unexpected(std::move(errors));
    }
    return output;
}

} // namespace galenaroad
