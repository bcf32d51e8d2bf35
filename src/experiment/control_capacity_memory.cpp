#include "experiment/control_capacity_memory.h"

#include "base/manual_clock.h"
#include "configuration/configuration_store.h"
#include "configuration/contract_json.h"
#include "membership/membership_builder.h"
#include "peer.pb.h"
#include "peer/message_codec.h"

#include <algorithm>
#include <malloc.h>
#include <memory>
#include <string>

namespace galenaroad {

namespace {

constexpr int members = 6500;
constexpr int upstreams = 74000;
constexpr int services = 3200;
constexpr int businesses = 800;
constexpr int routes = 80000;
constexpr int piece_members = 500; ///< Members in a piece of a join's response.

double allocated_bytes()
{
    const auto state = mallinfo2();
    return static_cast<double>(state.uordblks) + static_cast<double>(state.hblkhd);
}

peer::SynchroniseResponse wire_member(int index, int upstreams_of_member)
{
    peer::SynchroniseResponse piece;
    auto& record = *piece.mutable_members()->add_members();
    record.set_name("region2-1-" + std::to_string(100000 + index));
    record.set_peer_address("10.120.130.140:7000");
    record.set_region("region2");
    record.set_data_centre("region2-1");
    record.set_incarnation(1);
    record.set_version(1);
    record.set_content_version(1);
    for (int i = 0; i < upstreams_of_member; ++i) {
        const int number = (index * upstreams_of_member + i) % services;
        auto& service = *record.add_services();
        service.set_business("business-" + std::to_string(number / 4));
        service.set_service("service-" + std::to_string(number % 4));
        auto& announced = *record.add_upstreams();
        announced.set_name("upstream-" + std::to_string(i));
        announced.set_service(static_cast<std::uint32_t>(i));
        announced.set_slots(7);
        announced.set_connections(330);
    }
    return piece;
}

/// One daemon's membership, filled as by a join.
class filled_membership {
public:
    explicit filled_membership(int total_upstreams) : m_random(1)
    {
        m_members = membership::builder()
                        .name("self")
                        .peer_address("10.0.0.1:7000")
                        .location({"region1", "region1-1"})
                        .time(m_clock)
                        .random(m_random)
                        .build();
        const message_codec codec(m_names);
        for (int first = 0; first < members; first += piece_members) {
            member_response response;
            for (int i = first; i < std::min(first + piece_members, members); ++i) {
                const int extra = i < total_upstreams % members ? 1 : 0;
                auto one = codec.decode_members(wire_member(i, total_upstreams / members + extra));
                response.members.push_back(std::move(one.members.front()));
            }
            m_members->merge("10.0.0.2:7000", response);
        }
        m_members->tick();
        m_members->take_gossip();
        m_members->take_synchronise();
    }

private:
    manual_clock m_clock;
    random_engine m_random;
    name_pool m_names;
    std::unique_ptr<membership> m_members;
};

contract wide_contract(int business)
{
    contract value;
    value.business = "business-" + std::to_string(business);
    value.version = 1;
    value.services.push_back({"service-0", 30, detection_policy::careful});
    for (int i = 0; i < routes / businesses; ++i) {
        route next;
        next.path_prefix = "/part-" + std::to_string(i) + "/items";
        next.methods = {"GET", "POST"};
        next.service = "service-" + std::to_string(i % 4);
        value.routes.push_back(next);
    }
    return value;
}

} // namespace

control_memory measure_control_memory()
{
    control_memory measured;
    const auto empty = allocated_bytes();
    auto bare = std::make_unique<filled_membership>(0);
    const auto with_members = allocated_bytes() - empty;
    bare.reset();
    const auto again = allocated_bytes();
    const filled_membership full(upstreams);
    const auto with_upstreams = allocated_bytes() - again;
    const auto before_routes = allocated_bytes();
    configuration_store store;
    for (int i = 0; i < businesses; ++i) {
        const auto value = wide_contract(i);
        store.adopt({{value.business, value.version}, deflate_body(to_json(value))});
    }
    const auto with_routes = allocated_bytes() - before_routes;
    measured.bytes_per_member = with_members / members;
    measured.bytes_per_upstream = (with_upstreams - with_members) / upstreams;
    measured.bytes_per_route = with_routes / routes;
    measured.total_bytes = with_upstreams + with_routes;
    return measured;
}

} // namespace galenaroad
