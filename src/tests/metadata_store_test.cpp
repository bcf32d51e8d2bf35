#include "metadata_store.h"

#include "support/large_plan_text.h"
#include "support/store_test_fleet.h"

#include <catch2/catch.hpp>

using namespace galenaroad;
using namespace std::chrono_literals;

namespace {

// Every daemon must use a new plan within this time after its write was acknowledged.
constexpr auto max_plan_delay = 2s;
// After all daemons start, more of them than needed read the store for this time.
constexpr auto initial_reading_period = 6s;

/// A client of the store whose connections to a stand-in can be cut.
struct linked_store {
    process_clock time;
    event_loop loop{time};
    decision_log log{time};
    std::string address = free_address();
    std::string link_address = free_address();
    soak_store rows{loop, address, std::mt19937_64(1)};
    soak_link link{loop, link_address, address};
    metrics_registry metrics;
    relay_metrics counters{metrics};
    metadata_store store{loop, link_address, "dc", log, counters, random_engine(1)};

    linked_store()
    {
        structured_log::configure("test", "", log_level::error);
        rows.write(wire::operator_table, wire::plan_key, plan_text(1));
    }

    void run_for(std::chrono::milliseconds limit)
    {
        loop.after(limit, [this] { loop.stop(); });
        loop.run();
    }

    /// Watches the plan with short polls until the first version has been read.
    void watch_plan()
    {
        fleet_store::hooks hooks;
        hooks.plan = [this](const plan_document& document) { version = document.version; };
        hooks.owners = [](const auto&) {};
        hooks.owner_removed = [](const auto&) {};
        hooks.local_owners_listed = [] {};
        hooks.owners_listed = [] {};
        hooks.plan_watch_health_changed = [this] {
            losses += store.is_plan_watch_healthy() ? 0 : 1;
        };
        store.start(std::move(hooks));
        store.poll_frequently(true);
        store.watch(true);
        run_for(1s);
        REQUIRE(version == 1);
    }

    std::uint64_t version = 0; ///< Of the plan read last, after watch_plan().
    int losses = 0;            ///< Times at which the store stopped responding, after watch_plan().
};

} // namespace

TEST_CASE("metadata_store: successful calls for owners do not hide a failing feed of the plan",
          "[platform]")
{
    // Guards against a store reader that is considered current although the store answers only its
    // calls for owners.
    store_test_fleet fleet({"dc"});
    auto& reader = *fleet.nodes.front();
    reader.store.watch(true);
    fleet.run_for(1s);
    REQUIRE(reader.store.is_plan_watch_healthy());
    fleet.store.silence_table(wire::operator_table);
    fleet.run_for(1s);
    owner_record record = *reader.node.owners().find(reader.peer_address);
    ++record.revision;
    reader.store.publish(record);
    fleet.run_for(1s);
    CHECK_FALSE(reader.store.is_plan_watch_healthy());
}

TEST_CASE("metadata_store: owners are read again after the connections were lost", "[platform]")
{
    // Guards against a store reader that receives no changes of owners until its long poll on a
    // lost connection times out.
    store_test_fleet fleet({"east"});
    fleet.run_for(initial_reading_period);
    for (const auto& each : fleet.nodes) {
        each->to_store.silence_open();
    }
    fleet.run_for(2s);
    store_test_node late(fleet.loop, fleet.log, fleet.address, "west", 1000);
    fleet.run_for(3s);
    CHECK(fleet.nodes.front()->node.owners().find(late.peer_address) != nullptr);
}

TEST_CASE("metadata_store: a plan is used in time while the store readers get no response",
          "[platform]")
{
    // Guards against followers that rely on store readers which can no longer reach the store.
    store_test_fleet fleet({"dc"});
    fleet.run_for(initial_reading_period);
    REQUIRE(fleet.with_plan(1) == store_test_fleet::daemons_per_data_centre);
    fleet.cut_off_first("dc", 2);
    fleet.run_for(300ms);
    fleet.write_plan(2);
    fleet.run_for(max_plan_delay);
    CHECK(fleet.reachable_with_plan(2) == store_test_fleet::daemons_per_data_centre - 2);
}

TEST_CASE("metadata_store: a plan reaches a data centre that gets no response from the store",
          "[platform]")
{
    // Guards against plans that reach another data centre only along with requests: here there are
    // none.
    store_test_fleet fleet({"east", "west"});
    const auto all = static_cast<long>(fleet.nodes.size());
    REQUIRE(fleet.with_plan(1) == all);
    fleet.cut_off_first("west", store_test_fleet::daemons_per_data_centre);
    fleet.run_for(300ms);
    fleet.write_plan(2);
    fleet.run_for(max_plan_delay);
    CHECK(fleet.with_plan(2) == all);
}

TEST_CASE("metadata_store: a probe is answered once, and not repeated when it fails", "[platform]")
{
    // Guards against daemons that keep calling a store which does not respond, although other
    // daemons read it for them.
    linked_store client;
    std::uint64_t version = 0;
    int successes = 0;
    fleet_store::hooks hooks;
    hooks.plan = [&](const auto& document) { version = document.version; };
    hooks.probe_succeeded = [&] { ++successes; };
    client.store.start(std::move(hooks));
    client.store.probe();
    client.run_for(300ms);
    CHECK(version == 1);
    CHECK(successes == 1);
    CHECK_FALSE(client.store.is_plan_watch_healthy());
    client.link.cut(soak_link::direction::backward);
    client.store.probe();
    client.run_for(2s);
    const auto sent = client.link.passed(soak_link::direction::forward);
    client.run_for(3s);
    CHECK(client.link.passed(soak_link::direction::forward) == sent);
    CHECK(successes == 1);
}

TEST_CASE("metadata_store: a callback may stop the watch", "[platform]")
{
    // Guards against a daemon that stops watching from within a callback but keeps calling the
    // store.
    linked_store client;
    bool was_notified = false;
    fleet_store::hooks hooks;
    hooks.plan = [](const auto&) {};
    hooks.owners = [](const auto&) {};
    hooks.owners_listed = [] {};
    hooks.plan_watch_health_changed = [&] {
        was_notified = true;
        client.store.watch(false);
    };
    client.store.start(std::move(hooks));
    client.store.poll_frequently(true);
    client.store.watch(true);
    client.run_for(500ms);
    REQUIRE(was_notified);
    const auto sent = client.link.passed(soak_link::direction::forward);
    client.run_for(2s);
    CHECK(client.link.passed(soak_link::direction::forward) == sent);
}

TEST_CASE("metadata_store: a plan that arrives slowly is read", "[platform]")
{
    // Guards against a time limit for a small response that ends the response with a large plan, so
    // that it is requested again and never read.
    constexpr int routes = 2000;
    constexpr std::size_t link_rate = 150'000;
    linked_store linked;
    linked.link.limit_rate(link_rate);
    linked.watch_plan();
    linked.rows.write(wire::operator_table, wire::plan_key, large_plan_text(2, routes));
    linked.run_for(6s);
    CHECK(linked.version == 2);
    CHECK(linked.losses == 0);
}

TEST_CASE("metadata_store: a plan that memory cannot hold is not read", "[platform]")
{
    // Guards against readers that exceed the memory of their instance, one after another, while
    // they decode a plan that is too large.
    constexpr int routes = 40'000;
    linked_store linked;
    linked.watch_plan();
    linked.rows.write(wire::operator_table, wire::plan_key, large_plan_text(2, routes));
    linked.run_for(3s);
    CHECK(linked.version == 1);
    CHECK(linked.losses > 0);
}

TEST_CASE("metadata_store: a response that trickles is given up", "[platform]")
{
    // Guards against a reader that counts as current while the store sends it a few bytes a second.
    constexpr int routes = 2000;
    constexpr std::size_t link_rate = 4'000;
    linked_store linked;
    linked.watch_plan();
    REQUIRE(linked.store.is_plan_watch_healthy());
    linked.link.limit_rate(link_rate);
    linked.rows.write(wire::operator_table, wire::plan_key, large_plan_text(2, routes));
    linked.run_for(4s);
    CHECK(linked.losses > 0);
}
