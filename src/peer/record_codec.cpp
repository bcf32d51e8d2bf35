#include "peer/record_codec.h"

#include "membership/name_pool.h"
#include "peer.pb.h"

#include <algorithm>
#include <limits>
#include <map>

namespace galenaroad {

namespace {

std::optional<instance_state> instance_state_from(std::uint32_t value)
{
    if (value > static_cast<std::uint32_t>(instance_state::dead)) {
        return std::nullopt;
    }
    return static_cast<instance_state>(value);
}

// An unknown state of an upstream counts as leaving, which sends it no work.
upstream_state upstream_state_from(std::uint32_t value)
{
    constexpr auto last = static_cast<std::uint32_t>(upstream_state::leaving);
    return static_cast<upstream_state>(std::min(value, last));
}

std::uint16_t narrow(std::uint32_t value)
{
    constexpr std::uint32_t most = std::numeric_limits<std::uint16_t>::max();
    return static_cast<std::uint16_t>(std::min(value, most));
}

} // namespace

void encode_record(const member& known, peer::MemberRecord& wire)
{
    const auto& record = *known.record;
    wire.set_name(record.name);
    wire.set_peer_address(record.peer_address);
    wire.set_region(record.location->region);
    wire.set_data_centre(record.location->name);
    wire.set_incarnation(record.incarnation);
    wire.set_version(known.version);
    wire.set_content_version(record.content_version);
    wire.set_state(static_cast<std::uint32_t>(known.state));
    std::map<service_id, std::uint32_t> indices;
    for (const auto& each : record.upstreams) {
        const auto next = static_cast<std::uint32_t>(indices.size());
        const auto [index, added] = indices.try_emplace(*each.service, next);
        if (added) {
            auto& service = *wire.add_services();
            service.set_business(each.service->business);
            service.set_service(each.service->service);
        }
        auto& announced = *wire.add_upstreams();
        announced.set_name(each.name);
        announced.set_service(index->second);
        announced.set_slots(each.slots);
        announced.set_connections(each.connections);
        announced.set_state(static_cast<std::uint32_t>(each.state));
    }
}

void encode_record(const state_change& change, peer::StateChange& wire)
{
    wire.set_name(change.name);
    wire.set_incarnation(change.incarnation);
    wire.set_version(change.version);
    wire.set_content_version(change.content_version);
    wire.set_state(static_cast<std::uint32_t>(change.state));
}

void encode_record(const contract_head& head, peer::ContractHead& wire)
{
    wire.set_business(head.business);
    wire.set_version(head.version);
}

void encode_record(const ejection_row_copy& row, peer::EjectionRecord& wire)
{
    wire.set_business(row.service.business);
    wire.set_service(row.service.service);
    wire.set_row_version(row.row_version);
    wire.set_row(row.row);
    wire.set_remaining_ms(static_cast<std::uint32_t>(row.remaining.count()));
}

std::optional<member> decode_record(const peer::MemberRecord& wire, name_pool& names)
{
    const auto state = instance_state_from(wire.state());
    if (wire.name().empty() || !state) {
        return std::nullopt;
    }
    auto record = std::make_shared<member_record>();
    record->name = wire.name();
    record->peer_address = wire.peer_address();
    record->location = names.share(data_centre{wire.region(), wire.data_centre()});
    record->incarnation = wire.incarnation();
    record->content_version = wire.content_version();
    std::vector<std::shared_ptr<const service_id>> services;
    for (const auto& each : wire.services()) {
        services.push_back(names.share(service_id{each.business(), each.service()}));
    }
    record->upstreams.reserve(static_cast<std::size_t>(wire.upstreams_size()));
    for (const auto& each : wire.upstreams()) {
        if (each.service() < services.size()) {
            record->upstreams.push_back({each.name(), services[each.service()],
                                         narrow(each.slots()), narrow(each.connections()),
                                         upstream_state_from(each.state())});
        }
    }
    return member{std::move(record), wire.version(), *state};
}

std::optional<state_change> decode_record(const peer::StateChange& wire)
{
    const auto state = instance_state_from(wire.state());
    if (!state) {
        return std::nullopt;
    }
    return state_change{wire.name(), wire.incarnation(), wire.version(), wire.content_version(),
                        *state};
}

contract_head decode_record(const peer::ContractHead& wire)
{
    return {wire.business(), wire.version()};
}

ejection_row_copy decode_record(const peer::EjectionRecord& wire)
{
    return {{wire.business(), wire.service()},
            wire.row_version(),
            wire.row(),
            std::chrono::milliseconds(wire.remaining_ms())};
}

} // namespace galenaroad
