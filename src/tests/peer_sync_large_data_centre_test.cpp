#include "support/suspendable_fleet.h"

#include <catch2/catch.hpp>
#include <map>

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

/// A fleet that has its usual store readers and uses the first plan.
class started_fleet : public suspendable_fleet {
public:
    /// @param data_centre_sizes number of daemons of each data centre, by its name.
    explicit started_fleet(const std::map<std::string, int>& data_centre_sizes)
    {
        for (const auto& [name, size] : data_centre_sizes) {
            add_data_centre(name, size);
        }
        run_for(start_time);
        REQUIRE(behind(1) == 0);
    }

    /// Writes the next plan and checks that every running daemon uses it in time.
    /// @param time_before time from the latest change of the fleet to the write.
    void check_next_plan(std::chrono::milliseconds time_before, std::chrono::milliseconds max_delay)
    {
        run_for(time_before);
        write_plan(2);
        run_for(max_delay);
        CHECK(behind(2) == 0);
    }

    /// @param data_centre the daemons to which the store does not respond any more.
    void drop_store_responses(const std::string& data_centre) const
    {
        for (auto* const each : in_reader_order(data_centre)) {
            each->drop_store_responses();
        }
    }
};

} // namespace

TEST_CASE("peer_sync: a plan is used in time while the first half of the order is suspended",
          "[platform]")
{
    // Guards against daemons that wait for one suspended daemon after another, so that the time
    // until a change of the plan is noticed grows with the size of the data centre.
    started_fleet fleet({{"dc", large_data_centre}});
    fleet.suspend_first("dc", large_data_centre / 2);
    fleet.check_next_plan(100ms, max_plan_delay_large);
}

TEST_CASE("peer_sync: a plan from elsewhere reaches all running daemons of a data centre",
          "[platform]")
{
    // Guards against a data centre in which one daemon has the plan and the others wait for readers
    // that do not respond.
    started_fleet fleet({{"east", 4}, {"west", large_data_centre}});
    fleet.suspend_first("west", large_data_centre / 2);
    fleet.drop_store_responses("west");
    fleet.check_next_plan(100ms, max_plan_delay);
}

TEST_CASE("peer_sync: a plan is used in time while the store responds to the last daemons only",
          "[platform]")
{
    // Guards against daemons that could read the store but wait for readers that cannot, one second
    // for each place in the order.
    constexpr int lost_at_first = 2;
    constexpr int lost_later = 14;
    started_fleet fleet({{"dc", large_data_centre}});
    const auto order = fleet.in_reader_order("dc");
    for (int place = 0; place < lost_at_first; ++place) {
        order[place]->drop_store_responses();
    }
    fleet.run_for(1100ms);
    for (int place = lost_at_first; place < lost_later; ++place) {
        order[place]->drop_store_responses();
    }
    fleet.check_next_plan(100ms, max_plan_delay_large);
}

TEST_CASE("peer_sync: a plan from elsewhere reaches the few daemons of a data centre that run",
          "[platform]")
{
    // Guards against announcements that are given up when the chosen daemons do not respond, and
    // against a daemon that keeps an announced plan to itself.
    constexpr int suspended = 12;
    started_fleet fleet({{"east", 4}, {"west", large_data_centre}});
    fleet.suspend_first("west", suspended);
    fleet.drop_store_responses("west");
    fleet.check_next_plan(100ms, max_plan_delay_large);
}

TEST_CASE("peer_sync: a plan is used in time after the store responds again to the last daemons",
          "[platform]")
{
    // Guards against daemons that try the store once during an outage and then not again before the
    // line of take-overs has come to them.
    constexpr int returning = 2;
    started_fleet fleet({{"dc", large_data_centre}});
    const auto order = fleet.in_reader_order("dc");
    fleet.drop_store_responses("dc");
    fleet.run_for(6s);
    for (int place = large_data_centre - returning; place < large_data_centre; ++place) {
        order[place]->restore_store_responses();
    }
    fleet.check_next_plan(500ms, max_plan_delay_large);
}
