#include "routing/upstream_selector.h"

#include "routing/routing_snapshot_builder.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <rapidcheck/catch.h>

using namespace galenaroad;

namespace {

const steady_time start(std::chrono::hours(24));

upstream_candidate candidate(const std::string& name, link_distance distance,
                             double preference = 1.0)
{
    auto owner = std::make_shared<member_record>();
    owner->name = name;
    owner->upstreams.push_back({"server", nullptr, 7, 330, upstream_state::serving});
    upstream_candidate made;
    made.owner = owner;
    made.distance = distance;
    made.preference = static_cast<float>(preference);
    made.load = std::make_shared<upstream_load>();
    return made;
}

member owner_of(const std::string& name, const data_centre& location,
                upstream_state state = upstream_state::serving)
{
    auto record = std::make_shared<member_record>();
    record->name = name;
    record->location = std::make_shared<data_centre>(location);
    const auto service = std::make_shared<service_id>(service_id{"tetteh", "finder"});
    record->upstreams.push_back({"server", service, 7, 330, state});
    return {record, 1, instance_state::alive};
}

std::shared_ptr<const routing_snapshot> build(routing_snapshot_builder& builder,
                                              std::vector<member> members)
{
    std::sort(members.begin(), members.end(),
              [](const auto& a, const auto& b) { return a.record->name < b.record->name; });
    return builder.build(membership_view(std::move(members), 1), {});
}

} // namespace

TEST_CASE("upstream_selector: the near upstream is used until it is nearly full", "[routing]")
{
    // Guards against cross-region traffic, which is billed, while near upstreams have free slots.
    service_candidates candidates;
    candidates.upstreams = {candidate("near", link_distance::same_data_centre),
                            candidate("far", link_distance::cross_region)};
    random_engine random(1);
    const upstream_selector selector;
    CHECK(selector.select(candidates, {}, start, random)->owner->name == "near");
    candidates.upstreams[0].load->report(7, 2, start);
    CHECK(selector.select(candidates, {}, start, random)->owner->name == "far");
    CHECK(selector.select(candidates, {{"near", "server"}}, start, random)->owner->name == "far");
    CHECK(selector.select(candidates, {{"near", "server"}, {"far", "server"}}, start, random) ==
          nullptr);
}

TEST_CASE("upstream_selector: an upstream with preference 0.02 gets under a tenth of its share",
          "[routing]")
{
    // Guards against an unhealthy upstream that still receives many requests, and against excluding
    // it when no other is left.
    service_candidates candidates;
    for (int index = 0; index < 11; ++index) {
        candidates.upstreams.push_back(
            candidate(std::to_string(index), link_distance::same_data_centre));
    }
    candidates.upstreams.push_back(candidate("sick", link_distance::same_data_centre, 0.02));
    random_engine random(7);
    std::map<std::string, int> picks;
    constexpr int draws = 60000;
    for (int draw = 0; draw < draws; ++draw) {
        ++picks[upstream_selector().select(candidates, {}, start, random)->owner->name];
    }
    CHECK(picks["sick"] < draws / 12 / 10);
    candidates.upstreams.erase(candidates.upstreams.begin(), candidates.upstreams.end() - 1);
    CHECK(upstream_selector().select(candidates, {}, start, random)->owner->name == "sick");
}

TEST_CASE("routing_snapshot_builder: subsets are bounded and reach other data centres", "[routing]")
{
    // Guards against a number of connections that grows with the fleet, and against a subset that
    // becomes unavailable together with the own data centre.
    rc::prop("subset", [] {
        const auto near = *rc::gen::inRange<int>(0, 200);
        const auto far = *rc::gen::inRange<int>(0, 200);
        std::vector<member> members;
        for (int index = 0; index < near; ++index) {
            members.push_back(owner_of("n" + std::to_string(index), {"ash", "ash-1"}));
        }
        for (int index = 0; index < far; ++index) {
            members.push_back(owner_of("f" + std::to_string(index), {"gac", "gac-1"}));
        }
        routing_snapshot_builder builder("entry", {"ash", "ash-1"});
        const auto snapshot = build(builder.subset_size(32), members);
        const auto* candidates = snapshot->candidates({"tetteh", "finder"});
        const int found =
            candidates == nullptr ? 0 : static_cast<int>(candidates->upstreams.size());
        RC_ASSERT(found <= 32);
        RC_ASSERT(found >= std::min(near + far, 24));
        if (far > 0) {
            RC_ASSERT(candidates->upstreams.back().distance == link_distance::cross_region);
        }
    });
}

TEST_CASE("routing_snapshot_builder: leaving upstreams are excluded, loads are kept", "[routing]")
{
    // Guards against new requests to a leaving backend server, and against losing the known load
    // when the fleet changes.
    const data_centre here{"ash", "ash-1"};
    const service_id finder{"tetteh", "finder"};
    routing_snapshot_builder builder("entry", here);
    const auto first = owner_of("a", here);
    const auto before = build(builder, {first});
    const auto load = before->candidates(finder)->upstreams[0].load;
    const auto after = build(builder, {first, owner_of("b", here)});
    const auto& kept = after->candidates(finder)->upstreams;
    REQUIRE(kept.size() == 2);
    CHECK((kept[0].load == load || kept[1].load == load));
    CHECK(build(builder, {owner_of("a", here, upstream_state::leaving)})->candidates(finder) ==
          nullptr);
}

TEST_CASE("routing_snapshot_builder: unchanged services are shared between snapshots", "[routing]")
{
    // Guards against rebuilding 74,000 candidates for each change of one daemon.
    const data_centre here{"ash", "ash-1"};
    const service_id finder{"tetteh", "finder"};
    routing_snapshot_builder builder("entry", here);
    const auto first = owner_of("a", here);
    const auto before = build(builder, {first});
    CHECK(build(builder, {first}) == before);
    builder.mark_changed({"tetteh", "orders"});
    const auto after = build(builder, {first});
    CHECK(after != before);
    CHECK(after->candidates(finder) == before->candidates(finder));
}

TEST_CASE("routing_snapshot_builder: incremental and full builds agree", "[routing]")
{
    // Guards against candidates that remain after their daemon has left, and against missing ones.
    rc::prop("any sequence of fleets", [] {
        const data_centre here{"ash", "ash-1"};
        const service_id finder{"tetteh", "finder"};
        routing_snapshot_builder incremental("entry", here);
        // Each number is a fleet: bit N tells whether daemon N is a member.
        constexpr int daemons = 12;
        const auto fleets =
            *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1 << daemons));
        for (const auto& fleet : fleets) {
            std::vector<member> members;
            for (int name = 0; name < daemons; ++name) {
                if ((fleet & (1 << name)) != 0) {
                    members.push_back(owner_of(std::to_string(name), here));
                }
            }
            const auto snapshot = build(incremental, members);
            const auto* candidates = snapshot->candidates(finder);
            const auto found = candidates == nullptr ? 0 : candidates->upstreams.size();
            RC_ASSERT(found == members.size());
        }
    });
}
