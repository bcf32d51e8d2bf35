#include "metadata_store.h"

#include "fleet/store_reader_order.h"
#include "plan_decoder.h"
#include "soak/soak_store.h"
#include "support/relay_test_fleet.h"
#include "wire_names.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

using namespace galenaroad;
using namespace std::chrono_literals;

namespace {

// A plan is in force everywhere within this time of its acknowledgement.
constexpr auto max_plan_delay = 2s;
// More daemons than needed read the store for some time after the start of all.
constexpr auto initial_reading_period = 6s;

std::string plan_text(std::uint64_t version)
{
    return R"({"version":)" + std::to_string(version) + R"(,"routes":{},"services":{"s":{}}})";
}

/// A daemon with its own connection to the store.
struct store_test_node {
    std::string store_address = free_address();
    std::string peer_address = free_address();
    soak_link to_store;
    metrics_registry metrics;
    relay_metrics counters{metrics};
    metadata_store store;
    relay_node node;

    store_test_node(event_loop& loop, decision_log& log, const std::string& address,
                    const std::string& data_centre, unsigned seed)
        : to_store(loop, store_address, address),
          store(loop, store_address, data_centre, log, counters, random_engine(seed)),
          node({loop, store, log, metrics, plan_decoder::decode}, settings(data_centre),
               random_engine(seed + 1))
    {
        node.start();
        upstream_heartbeat heartbeat;
        heartbeat.id = "i-" + peer_address;
        heartbeat.service = "s";
        heartbeat.address = "127.0.0.1:1";
        heartbeat.slots = 1;
        heartbeat.sequence = 1;
        heartbeat.start_time_ms = 1;
        node.on_heartbeat(heartbeat, [] {});
    }

    relay_settings settings(const std::string& data_centre) const
    {
        relay_settings made;
        made.location = {peer_address, data_centre, "region-" + data_centre};
        made.entry_address = free_address();
        made.own_service = "s";
        return made;
    }

    /// The store takes this daemon's calls and does not answer them.
    void drop_responses() { to_store.cut(soak_link::direction::backward); }

    std::uint64_t plan_version() const
    {
        return node.plan() == nullptr ? 0 : node.plan()->plan().version;
    }
};

/// Daemons without any traffic that keep their plan in the stand-in for the store.
struct store_test_fleet {
    static constexpr int daemons_per_data_centre = 6;

    process_clock time;
    event_loop loop{time};
    decision_log log{time};
    std::string address = free_address();
    soak_store store{loop, address, std::mt19937_64(1)};
    std::vector<std::unique_ptr<store_test_node>> nodes;
    std::set<const store_test_node*> unreachable;

    explicit store_test_fleet(const std::vector<std::string>& data_centres)
    {
        structured_log::configure("test", "", log_level::error);
        write_plan(1);
        for (const auto& each : data_centres) {
            for (int count = 0; count < daemons_per_data_centre; ++count) {
                const auto seed = static_cast<unsigned>(nodes.size());
                nodes.push_back(
                    std::make_unique<store_test_node>(loop, log, address, each, 10 * seed));
            }
        }
        run_for(3s);
    }

    void write_plan(std::uint64_t version)
    {
        store.write(wire::operator_table, wire::plan_key, plan_text(version));
    }

    void run_for(std::chrono::milliseconds limit)
    {
        loop.after(limit, [this] { loop.stop(); });
        loop.run();
    }

    /// Silences the store for the first daemons of a data centre.
    void cut_off_first(const std::string& data_centre, std::size_t count)
    {
        const auto order = store_reader_order::daemons(nodes.front()->node.owners(), data_centre);
        REQUIRE(order.size() >= count);
        for (const auto& each : nodes) {
            const auto place = std::find(order.begin(), order.end(), each->peer_address);
            if (place != order.end() && place < order.begin() + static_cast<long>(count)) {
                each->drop_responses();
                unreachable.insert(each.get());
            }
        }
    }

    /// Counts the daemons that the store answers and that have a plan in force.
    long reachable_with_plan(std::uint64_t version) const
    {
        return std::count_if(nodes.begin(), nodes.end(), [&](const auto& each) {
            return unreachable.count(each.get()) == 0 && each->plan_version() == version;
        });
    }

    long with_plan(std::uint64_t version) const
    {
        return std::count_if(nodes.begin(), nodes.end(),
                             [&](const auto& each) { return each->plan_version() == version; });
    }
};

} // namespace

TEST_CASE("metadata_store: a silent feed of the plan is not covered up by other calls",
          "[platform]")
{
    // Guards against a reader that passes for fresh, as the store answers it about owners only.
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

TEST_CASE("metadata_store: owners are heard of again after the connections fell silent",
          "[platform]")
{
    // Guards against a reader that gets no news of owners until its silent call for them ends.
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

TEST_CASE("metadata_store: a plan is in force in time while the readers hear nothing", "[platform]")
{
    // Guards against followers that trust readers to whom the store has fallen silent.
    store_test_fleet fleet({"dc"});
    fleet.run_for(initial_reading_period);
    REQUIRE(fleet.with_plan(1) == store_test_fleet::daemons_per_data_centre);
    fleet.cut_off_first("dc", 2);
    fleet.run_for(300ms);
    fleet.write_plan(2);
    fleet.run_for(max_plan_delay);
    CHECK(fleet.reachable_with_plan(2) == store_test_fleet::daemons_per_data_centre - 2);
}

TEST_CASE("metadata_store: a plan reaches a data centre that the store does not answer",
          "[platform]")
{
    // Guards against news that reach another data centre with requests only, when there are none.
    store_test_fleet fleet({"east", "west"});
    const auto all = static_cast<long>(fleet.nodes.size());
    REQUIRE(fleet.with_plan(1) == all);
    fleet.cut_off_first("west", store_test_fleet::daemons_per_data_centre);
    fleet.run_for(300ms);
    fleet.write_plan(2);
    fleet.run_for(max_plan_delay);
    CHECK(fleet.with_plan(2) == all);
}

TEST_CASE("metadata_store: a reaction to an answer may end the following", "[platform]")
{
    // Guards against a daemon that stops to read as the store answers, and calls it ever after.
    process_clock time;
    event_loop loop(time);
    decision_log log(time);
    structured_log::configure("test", "", log_level::error);
    const auto address = free_address();
    soak_store rows(loop, address, std::mt19937_64(1));
    rows.write(wire::operator_table, wire::plan_key, plan_text(1));
    const auto link_address = free_address();
    soak_link link(loop, link_address, address);
    metrics_registry metrics;
    relay_metrics counters(metrics);
    metadata_store store(loop, link_address, "dc", log, counters, random_engine(1));
    bool was_notified = false;
    fleet_store::hooks hooks;
    hooks.plan = [](const auto&) {};
    hooks.owners = [](const auto&) {};
    hooks.owners_listed = [] {};
    hooks.plan_watch_health_changed = [&] {
        was_notified = true;
        store.watch(false);
    };
    store.start(std::move(hooks));
    store.poll_frequently(true);
    store.watch(true);
    const auto run_for = [&](std::chrono::milliseconds limit) {
        loop.after(limit, [&] { loop.stop(); });
        loop.run();
    };
    run_for(500ms);
    REQUIRE(was_notified);
    const auto sent = link.passed(soak_link::direction::forward);
    run_for(2s);
    CHECK(link.passed(soak_link::direction::forward) == sent);
}
