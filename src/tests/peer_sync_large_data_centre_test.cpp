#include "support/suspendable_fleet.h"

#include <catch2/catch.hpp>

using namespace galenaroad;
using namespace std::chrono_literals;

namespace {

// Every running daemon must use a new plan within this time after its write was acknowledged.
constexpr auto max_plan_delay = 2s;
// The same on deployments with large data centres.
constexpr auto max_plan_delay_large = 3s;
constexpr int large_data_centre = 16;
// Within this time after the start, the fleet has its usual store readers.
constexpr auto start_time = 8s;

} // namespace

TEST_CASE("peer_sync: a plan is used in time while the first half of the order is suspended",
          "[platform]")
{
    // Guards against daemons that wait for one suspended daemon after another, so that the time
    // until a change of the plan is noticed grows with the size of the data centre.
    suspendable_fleet fleet;
    fleet.add_data_centre("dc", large_data_centre);
    fleet.run_for(start_time);
    REQUIRE(fleet.behind(1) == 0);
    fleet.suspend_first("dc", large_data_centre / 2);
    fleet.run_for(100ms);
    fleet.write_plan(2);
    fleet.run_for(max_plan_delay_large);
    CHECK(fleet.behind(2) == 0);
}

TEST_CASE("peer_sync: a plan from elsewhere reaches all running daemons of a data centre",
          "[platform]")
{
    // Guards against a data centre in which one daemon has the plan and the others wait for readers
    // that do not respond.
    suspendable_fleet fleet;
    fleet.add_data_centre("east", 4);
    fleet.add_data_centre("west", large_data_centre);
    fleet.run_for(start_time);
    REQUIRE(fleet.behind(1) == 0);
    fleet.suspend_first("west", large_data_centre / 2);
    for (auto* const each : fleet.in_reader_order("west")) {
        each->drop_store_responses();
    }
    fleet.run_for(100ms);
    fleet.write_plan(2);
    fleet.run_for(max_plan_delay);
    CHECK(fleet.behind(2) == 0);
}

TEST_CASE("peer_sync: a plan is used in time while the store responds to the last daemons only",
          "[platform]")
{
    // Guards against daemons that could read the store but wait for readers that cannot, one second
    // for each place in the order.
    constexpr int lost_at_first = 2;
    constexpr int lost_later = 14;
    suspendable_fleet fleet;
    fleet.add_data_centre("dc", large_data_centre);
    fleet.run_for(start_time);
    REQUIRE(fleet.behind(1) == 0);
    const auto order = fleet.in_reader_order("dc");
    for (int place = 0; place < lost_at_first; ++place) {
        order[place]->drop_store_responses();
    }
    fleet.run_for(1100ms);
    for (int place = lost_at_first; place < lost_later; ++place) {
        order[place]->drop_store_responses();
    }
    fleet.run_for(100ms);
    fleet.write_plan(2);
    fleet.run_for(max_plan_delay_large);
    CHECK(fleet.behind(2) == 0);
}

TEST_CASE("peer_sync: a plan from elsewhere reaches the few daemons of a data centre that run",
          "[platform]")
{
    // Guards against announcements that are given up when the chosen daemons do not respond, and
    // against a daemon that keeps an announced plan to itself.
    constexpr int suspended = 12;
    suspendable_fleet fleet;
    fleet.add_data_centre("east", 4);
    fleet.add_data_centre("west", large_data_centre);
    fleet.run_for(start_time);
    REQUIRE(fleet.behind(1) == 0);
    fleet.suspend_first("west", suspended);
    for (auto* const each : fleet.in_reader_order("west")) {
        each->drop_store_responses();
    }
    fleet.run_for(100ms);
    fleet.write_plan(2);
    fleet.run_for(max_plan_delay_large);
    CHECK(fleet.behind(2) == 0);
}

TEST_CASE("peer_sync: a plan is used in time after the store responds again to the last daemons",
          "[platform]")
{
    // Guards against daemons that try the store once during an outage and then not again before the
    // line of take-overs has come to them.
    constexpr int returning = 2;
    suspendable_fleet fleet;
    fleet.add_data_centre("dc", large_data_centre);
    fleet.run_for(start_time);
    REQUIRE(fleet.behind(1) == 0);
    const auto order = fleet.in_reader_order("dc");
    for (auto* const each : order) {
        each->drop_store_responses();
    }
    fleet.run_for(6s);
    for (int place = large_data_centre - returning; place < large_data_centre; ++place) {
        order[place]->restore_store_responses();
    }
    fleet.run_for(500ms);
    fleet.write_plan(2);
    fleet.run_for(max_plan_delay_large);
    CHECK(fleet.behind(2) == 0);
}
