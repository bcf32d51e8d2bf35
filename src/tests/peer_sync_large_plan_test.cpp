#include "support/thin_link_fleet.h"

#include <catch2/catch.hpp>

using namespace galenaroad;
using namespace std::chrono_literals;

namespace {

// Every daemon must use a new plan within this time after its write was acknowledged.
constexpr auto max_plan_delay = 3s;
constexpr int large_data_centre = 16;
constexpr int routes_at_start = 20;
constexpr int routes_per_growth = 1400;
// In the 3 s after a small change, at 14 KB/s for all control traffic.
constexpr std::size_t max_bytes_per_daemon = 42'000;

} // namespace

TEST_CASE("peer_sync: a plan that grows by many routes is used in time over thin links",
          "[platform]")
{
    // Guards against plans that are sent whole to each follower, so that the links of the readers
    // are busy for longer than a change may take.
    thin_link_fleet fleet(large_data_centre, routes_at_start);
    int routes = routes_at_start;
    for (std::uint64_t version = 2; version <= 4; ++version) {
        routes += routes_per_growth;
        fleet.write_plan(version, routes);
        fleet.run_for(max_plan_delay);
        CHECK(fleet.behind(version) == 0);
    }
}

TEST_CASE("peer_sync: a change of one route of a large plan is used in time over thin links",
          "[platform]")
{
    // Guards against a small change that costs as much as the whole plan.
    constexpr int routes = 4220;
    constexpr auto settling_time = 15s;
    thin_link_fleet fleet(large_data_centre, routes);
    fleet.run_for(settling_time);
    REQUIRE(fleet.behind(1) == 0);
    const auto bytes_before = fleet.bytes_to_peers();
    fleet.write_plan(2, routes + 1);
    fleet.run_for(max_plan_delay);
    CHECK(fleet.behind(2) == 0);
    CHECK(fleet.bytes_to_peers() - bytes_before < max_bytes_per_daemon * large_data_centre);
}
