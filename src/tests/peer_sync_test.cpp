#include "support/relay_test_fleet.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <limits>

using namespace galenaroad;
using namespace std::chrono_literals;

namespace {

/// Daemons of one data centre that share a store.
struct data_centre_fleet {
    static constexpr int size = 12;

    process_clock time;
    event_loop loop{time};
    decision_log log{time};
    relay_shared_store shared;
    std::vector<std::unique_ptr<relay_test_node>> nodes;

    data_centre_fleet()
    {
        structured_log::configure("test", "", log_level::error);
        shared.plan = {1, "plan"};
        for (int each = 0; each < size; ++each) {
            add(std::to_string(each));
        }
        run_for(1500ms);
    }

    relay_test_node& add(const std::string& name)
    {
        nodes.push_back(std::make_unique<relay_test_node>(loop, shared, log, name, "dc"));
        nodes.back()->announce();
        return *nodes.back();
    }

    void run_for(std::chrono::milliseconds limit)
    {
        loop.after(limit, [this] { loop.stop(); });
        loop.run();
    }

    /// Counts the daemons that peers can reach and for which a condition holds.
    template <typename Condition>
    long count(Condition holds) const
    {
        return std::count_if(nodes.begin(), nodes.end(),
                             [&](const auto& each) { return each->link && holds(*each); });
    }

    long count_readers() const
    {
        return count([](const auto& each) { return each.store.follows(); });
    }

    void change_plan(std::uint64_t version)
    {
        shared.plan = {version, "plan"};
        for (const auto& each : nodes) {
            each->store.deliver_plan_if_following(shared.plan);
        }
    }

    long count_with_plan(std::uint64_t version) const
    {
        return count([version](const auto& each) {
            return each.node.plan() != nullptr && each.node.plan()->version() == version;
        });
    }

    /// Makes the store readers unreachable for their peers: connections to them are reset and
    /// refused.
    void remove_readers()
    {
        for (const auto& each : nodes) {
            if (each->store.follows()) {
                each->link.reset();
            }
        }
    }
};

void check_plan(const relay_test_node& daemon, std::uint64_t version)
{
    REQUIRE(daemon.node.plan() != nullptr);
    CHECK(daemon.node.plan()->version() == version);
}

} // namespace

TEST_CASE("peer_sync: few daemons read the store, and all know the plan and the owners", "[relay]")
{
    // Guards against store calls whose number per change grows with the fleet.
    data_centre_fleet fleet;
    fleet.run_for(6s);
    CHECK(fleet.count_readers() <= 3);
    CHECK(fleet.count_readers() >= 2);
    const auto is_ready = [](const auto& each) { return each->node.is_ready(); };
    CHECK(std::all_of(fleet.nodes.begin(), fleet.nodes.end(), is_ready));
    fleet.change_plan(5);
    fleet.run_for(300ms);
    CHECK(fleet.count_with_plan(5) == data_centre_fleet::size);
}

TEST_CASE("peer_sync: others take over when the readers fail", "[relay]")
{
    // Guards against a data centre that receives no more changes after its readers have failed.
    data_centre_fleet fleet;
    fleet.run_for(6s);
    fleet.remove_readers();
    const auto remaining = fleet.count([](const auto&) { return true; });
    REQUIRE(remaining >= 9);
    fleet.run_for(2500ms);
    CHECK(fleet.count_readers() >= 1);
    fleet.change_plan(7);
    fleet.run_for(500ms);
    CHECK(fleet.count_with_plan(7) == remaining);
    fleet.run_for(5s);
    CHECK(fleet.count_readers() <= 4);
}

TEST_CASE("peer_sync: a daemon that joins is known to all", "[relay]")
{
    // Guards against upstreams that join and receive no requests.
    data_centre_fleet fleet;
    const auto joined = fleet.add("late").peer_address;
    fleet.run_for(1500ms);
    for (const auto& each : fleet.nodes) {
        CHECK(each->node.owners().find(joined) != nullptr);
    }
}

TEST_CASE("peer_sync: a plan that one daemon knows reaches all while the store is down", "[relay]")
{
    // Guards against daemons that get new plans only from the store.
    data_centre_fleet fleet;
    fleet.shared.is_unreachable = true;
    fleet.nodes.back()->store.deliver_plan({9, "plan"});
    fleet.run_for(6s);
    CHECK(fleet.count_with_plan(9) == data_centre_fleet::size);
}

TEST_CASE("peer_sync: an unresponsive peer does not delay a request to another one", "[relay]")
{
    // Guards against a daemon that keeps an old plan while it waits for one peer.
    relay_test_fleet fleet;
    relay_test_node silent(fleet.loop, fleet.shared, fleet.log, "silent");
    fleet.shared.is_unreachable = true;
    fleet.b->store.deliver_plan({2, "plan"});
    silent.store.deliver_plan({2, "plan"});
    silent.link->cut(soak_link::direction::backward);
    fleet.run_for(100ms);
    fleet.report_plan(2, silent.peer_address);
    fleet.report_plan(2, fleet.b->peer_address);
    fleet.run_for(1s);
    check_plan(*fleet.a, 2);
}

TEST_CASE("peer_sync: a version that no peer has does not hide the next plan", "[relay]")
{
    // Guards against a daemon that waits for a plan version that was reported wrongly.
    relay_test_fleet fleet;
    fleet.report_plan(std::numeric_limits<std::uint64_t>::max(), fleet.b->peer_address);
    fleet.run_for(1500ms);
    fleet.b->store.deliver_plan({2, "plan"});
    fleet.report_plan(2, fleet.b->peer_address);
    fleet.run_for(500ms);
    check_plan(*fleet.a, 2);
}

TEST_CASE("peer_sync: requests without a response do not stop requests to other peers", "[relay]")
{
    // Guards against a daemon that asks nobody for a newer plan any more after several peers that
    // reported it have not responded.
    relay_test_fleet fleet;
    fleet.shared.is_unreachable = true;
    std::vector<std::unique_ptr<relay_test_node>> silent;
    for (int each = 0; each < 4; ++each) {
        silent.push_back(std::make_unique<relay_test_node>(fleet.loop, fleet.shared, fleet.log,
                                                           "silent-" + std::to_string(each)));
        silent.back()->link->cut(soak_link::direction::backward);
    }
    for (const auto& each : silent) {
        fleet.report_plan(2, each->peer_address);
    }
    fleet.run_for(1300ms);
    fleet.b->store.deliver_plan({2, "plan"});
    fleet.report_plan(2, fleet.b->peer_address);
    fleet.run_for(1s);
    check_plan(*fleet.a, 2);
}
