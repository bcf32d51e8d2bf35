#include "routing/upstream_selector.h"

#include "routing/routing_snapshot_builder.h"

#include <catch2/catch.hpp>
#include <map>
#include <rapidcheck/catch.h>

using namespace galenaroad;

namespace {

const steady_time start(std::chrono::hours(24));

upstream_candidate candidate(const std::string& name, link_distance distance,
                             double preference = 1.0)
{
    upstream_candidate made;
    made.id = {name, "server"};
    made.slots = 7;
    made.distance = distance;
    made.preference = preference;
    made.load = std::make_shared<upstream_load>();
    return made;
}

instance owner_of(const std::string& name, const data_centre& location)
{
    instance owner;
    owner.name = name;
    owner.location = location;
    upstream announced;
    announced.id = {name, "server"};
    announced.service = {"tetteh", "finder"};
    announced.slots = 7;
    owner.upstreams = {announced};
    return owner;
}

} // namespace

TEST_CASE("upstream_selector: work stays near until the near upstream is nearly full", "[routing]")
{
    // Guards against cross-region traffic, which is billed, while near capacity is free.
    service_candidates candidates;
    candidates.upstreams = {candidate("near", link_distance::same_data_centre),
                            candidate("far", link_distance::cross_region)};
    random_engine random(1);
    const upstream_selector selector;
    CHECK(selector.select(candidates, {}, start, random)->id.instance == "near");
    candidates.upstreams[0].load->report(7, 2, start);
    CHECK(selector.select(candidates, {}, start, random)->id.instance == "far");
    CHECK(selector.select(candidates, {{"near", "server"}}, start, random)->id.instance == "far");
    CHECK(selector.select(candidates, {{"near", "server"}, {"far", "server"}}, start, random) ==
          nullptr);
}

TEST_CASE("upstream_selector: a steered upstream gets less than a tenth of its share", "[routing]")
{
    // Guards against a sick upstream that keeps receiving work, and against excluding it.
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
        ++picks[upstream_selector().select(candidates, {}, start, random)->id.instance];
    }
    CHECK(picks["sick"] < draws / 12 / 10);
    candidates.upstreams.erase(candidates.upstreams.begin(), candidates.upstreams.end() - 1);
    CHECK(upstream_selector().select(candidates, {}, start, random)->id.instance == "sick");
}

TEST_CASE("routing_snapshot_builder: subsets are bounded and reach other data centres", "[routing]")
{
    // Guards against connections that grow with the fleet, and against a subset that is lost
    // together with the own data centre.
    rc::prop("subset", [] {
        const auto near = *rc::gen::inRange<int>(0, 200);
        const auto far = *rc::gen::inRange<int>(0, 200);
        std::vector<instance> instances;
        for (int index = 0; index < near; ++index) {
            instances.push_back(owner_of("n" + std::to_string(index), {"ash", "ash-1"}));
        }
        for (int index = 0; index < far; ++index) {
            instances.push_back(owner_of("f" + std::to_string(index), {"gac", "gac-1"}));
        }
        routing_snapshot_builder builder("entry", {"ash", "ash-1"});
        const auto snapshot = builder.subset_size(32).build(instances, {});
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

TEST_CASE("routing_snapshot_builder: leaving upstreams are left out, loads are kept", "[routing]")
{
    // Guards against new work for a leaving backend server and against forgetting the load when
    // the fleet changes.
    auto owner = owner_of("a", {"ash", "ash-1"});
    routing_snapshot_builder builder("entry", {"ash", "ash-1"});
    const auto before = builder.build({owner}, {});
    const auto load = before->candidates({"tetteh", "finder"})->upstreams[0].load;
    const auto after = builder.build({owner, owner_of("b", {"ash", "ash-1"})}, {});
    CHECK(after->candidates({"tetteh", "finder"})->upstreams.size() == 2);
    const auto& kept = after->candidates({"tetteh", "finder"})->upstreams;
    CHECK((kept[0].load == load || kept[1].load == load));
    owner.upstreams[0].state = upstream_state::leaving;
    CHECK(builder.build({owner}, {})->candidates({"tetteh", "finder"}) == nullptr);
}
