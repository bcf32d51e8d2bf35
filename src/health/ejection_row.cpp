#include "health/ejection_row.h"

#include "base/error_kind.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace galenaroad {

namespace {

using nlohmann::json;

const char* kind_name(removal_kind kind)
{
    switch (kind) {
    case removal_kind::ejected:
        return "ejected";
    case removal_kind::drained:
        return "drained";
    case removal_kind::released:
        break;
    }
    return "released";
}

removal_kind kind_named(const std::string& name)
{
    if (name == "ejected") {
        return removal_kind::ejected;
    }
    // An unknown kind counts against the floor but is not applied, like a released entry.
    return name == "drained" ? removal_kind::drained : removal_kind::released;
}

json to_json(const ejection_entry& entry)
{
    return {{"instance", entry.upstream.instance},
            {"upstream", entry.upstream.name},
            {"incarnation", entry.incarnation},
            {"slots", entry.slots},
            {"kind", kind_name(entry.kind)},
            {"reason", entry.reason},
            {"grant", entry.grant_id},
            {"remaining_ms", entry.remaining.count()},
            {"counted_ms", entry.counted.count()}};
}

ejection_entry entry_from(const json& text)
{
    ejection_entry entry;
    entry.upstream = {text.at("instance").get<std::string>(),
                      text.at("upstream").get<std::string>()};
    entry.incarnation = text.at("incarnation").get<std::uint64_t>();
    entry.slots = text.at("slots").get<int>();
    entry.kind = kind_named(text.at("kind").get<std::string>());
    entry.reason = text.at("reason").get<std::string>();
    entry.grant_id = text.at("grant").get<std::string>();
    entry.remaining = std::chrono::milliseconds(text.at("remaining_ms").get<std::int64_t>());
    entry.counted = std::chrono::milliseconds(text.at("counted_ms").get<std::int64_t>());
    return entry;
}

} // namespace

result<ejection_row> ejection_row::parse(const std::string& text)
{
    try {
        const json parsed = json::parse(text);
        ejection_row row;
        row.service = {parsed.at("business").get<std::string>(),
                       parsed.at("service").get<std::string>()};
        row.sequence = parsed.at("sequence").get<std::uint64_t>();
        row.write_id = parsed.at("write").get<std::string>();
        for (const json& entry : parsed.at("entries")) {
            row.entries.push_back(entry_from(entry));
        }
        return row;
    }
    catch (const json::exception&) {
        return tl::unexpected(make_error_code(error_kind::internal));
    }
}

std::string ejection_row::text() const
{
    json entry_list = json::array();
    for (const ejection_entry& entry : entries) {
        entry_list.push_back(to_json(entry));
    }
    return json{{"business", service.business},
                {"service", service.service},
                {"sequence", sequence},
                {"write", write_id},
                {"entries", std::move(entry_list)}}
        .dump();
}

std::string ejection_row::key(const service_id& service)
{
    return service.business + '/' + service.service;
}

ejection_entry* ejection_row::find(const upstream_id& upstream)
{
    const auto found =
        std::find_if(entries.begin(), entries.end(),
                     [&](const ejection_entry& entry) { return entry.upstream == upstream; });
    return found == entries.end() ? nullptr : &*found;
}

const ejection_entry* ejection_row::find(const upstream_id& upstream) const
{
    const auto found =
        std::find_if(entries.begin(), entries.end(),
                     [&](const ejection_entry& entry) { return entry.upstream == upstream; });
    return found == entries.end() ? nullptr : &*found;
}

int ejection_row::slots_in_service(const service_capacity& capacity) const
{
    int slots = 0;
    for (const capacity_member& member : capacity.members) {
        slots += find(member.upstream) == nullptr ? member.slots : 0;
    }
    return slots;
}

bool ejection_row::may_remove(const service_capacity& capacity, const upstream_id& candidate) const
{
    const capacity_member* member = capacity.find(candidate);
    if (member == nullptr) {
        return false;
    }
    const int freed = find(candidate) == nullptr ? member->slots : 0;
    return slots_in_service(capacity) - freed >= capacity.floor_slots;
}

const capacity_member* service_capacity::find(const upstream_id& upstream) const
{
    const auto found =
        std::find_if(members.begin(), members.end(),
                     [&](const capacity_member& member) { return member.upstream == upstream; });
    return found == members.end() ? nullptr : &*found;
}

} // namespace galenaroad
