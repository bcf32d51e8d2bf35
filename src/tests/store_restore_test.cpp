#include "fleet/owner_record_codec.h"
#include "support/large_plan_text.h"
#include "support/store_test_fleet.h"

#include <catch2/catch.hpp>

using namespace galenaroad;
using namespace std::chrono_literals;

namespace {

const std::vector<std::string> no_data_centres;
constexpr const char* owner_table = "galenaroad_owners";
// Own rows must be back within this time after the store has come back.
constexpr auto max_return_time = 2s;
// Longer than readers wait between two polls for owners.
constexpr auto owner_poll_time = 2500ms;

/// A fleet whose store comes back from an older copy.
struct restored_fleet : store_test_fleet {
    using store_test_fleet::store_test_fleet;

    /// Adds a daemon with an upstream.
    store_test_node& add()
    {
        nodes.push_back(std::make_unique<store_test_node>(loop, log, address, "dc", 1000));
        return *nodes.back();
    }

    /// Starts a daemon in the place of an earlier one, which is cut off from everything.
    store_test_node& restart(store_test_node& earlier)
    {
        earlier.to_store.cut(soak_link::direction::forward);
        earlier.to_store.cut(soak_link::direction::backward);
        nodes.push_back(std::make_unique<store_test_node>(loop, log, address, "dc", 2000,
                                                          earlier.peer_address, free_address()));
        nodes.back()->node.start();
        return *nodes.back();
    }

    /// Announces that the upstream of a daemon has left, and waits for the acknowledgement.
    void leave(store_test_node& each)
    {
        bool is_acknowledged = false;
        each.node.on_departure("i-" + each.peer_address, [&] { is_acknowledged = true; });
        run_for(300ms);
        REQUIRE(is_acknowledged);
    }

    /// @return the state that the store has of a daemon's upstream.
    announced_state stored_state(const store_test_node& of) const
    {
        const auto record =
            owner_record_codec::decode(store.value_of(owner_table, of.peer_address));
        return record ? record->state : announced_state::none;
    }

    /// Writes rows that nobody reads until the store has given out a version.
    void pass_version(std::uint64_t version)
    {
        while (store.version() <= version) {
            store.write("other", "row", "value");
        }
    }
};

announced_state known_state(const store_test_node& at, const store_test_node& of)
{
    const auto* const record = at.node.owners().find(of.peer_address);
    return record == nullptr ? announced_state::none : record->state;
}

std::string other_plan_text(std::uint64_t version)
{
    return R"({"version":)" + std::to_string(version) +
           R"(,"routes":{},"services":{"s":{},"other":{}}})";
}

bool has_other_service(const store_test_node& each)
{
    return each.node.plan() != nullptr && each.node.plan()->service("other") != nullptr;
}

} // namespace

TEST_CASE("store_restore: a plan below the version of the feed is read", "[platform]")
{
    // Guards against a feed that continues after a version which the store has given out anew: the
    // changes between the copy and that version were never read.
    restored_fleet fleet({"dc"});
    fleet.run_for(1s);
    fleet.pass_version(fleet.store.version() + 20);
    fleet.write_plan(2);
    fleet.run_for(1s);
    const auto version = fleet.store.version();
    fleet.store.restore(1500ms);
    fleet.write_plan(3);
    fleet.pass_version(version);
    fleet.run_for(max_return_time);
    CHECK(fleet.with_plan(3) == store_test_fleet::daemons_per_data_centre);
}

TEST_CASE("store_restore: a row that the copy lacks is written again", "[platform]")
{
    // Guards against daemons that nobody finds after a restore: their rows were written only when
    // something changed.
    restored_fleet fleet({"dc"});
    fleet.run_for(3s);
    auto& late = fleet.add();
    fleet.run_for(700ms);
    REQUIRE(fleet.stored_state(late) == announced_state::ready);
    const int restores = GENERATE(1, 2);
    for (int count = 0; count < restores; ++count) {
        fleet.store.restore(3s);
        REQUIRE(fleet.stored_state(late) == announced_state::none);
        fleet.run_for(200ms);
    }
    fleet.run_for(max_return_time - 200ms);
    CHECK(fleet.stored_state(late) == announced_state::ready);
    CHECK(known_state(*fleet.nodes.front(), late) == announced_state::ready);
}

TEST_CASE("store_restore: rows that the copy has are not written again", "[platform]")
{
    // Guards against a restore that each daemon answers with a write: a part takes 200 a second.
    restored_fleet fleet({"dc"});
    fleet.run_for(3s);
    const int writes = fleet.store.writes;
    fleet.store.restore(500ms);
    fleet.run_for(max_return_time);
    CHECK(fleet.store.writes == writes);
}

TEST_CASE("store_restore: a departure that the copy lacks stays one", "[platform]")
{
    // Guards against new work for an upstream that has left: the copy said that it was ready, and
    // the next start of its daemon believed the copy. The daemon restarts after or before it could
    // write its row again.
    const bool is_written_again = GENERATE(true, false);
    restored_fleet fleet({"dc"});
    fleet.run_for(3s);
    auto& leaving = *fleet.nodes.front();
    fleet.leave(leaving);
    fleet.run_for(owner_poll_time);
    REQUIRE(known_state(*fleet.nodes.back(), leaving) == announced_state::left);
    if (!is_written_again) {
        leaving.to_store.cut(soak_link::direction::forward);
        leaving.to_store.cut(soak_link::direction::backward);
    }
    fleet.store.restore(owner_poll_time + 1s);
    REQUIRE(fleet.stored_state(leaving) == announced_state::ready);
    fleet.run_for(max_return_time);
    CHECK(fleet.stored_state(leaving) ==
          (is_written_again ? announced_state::left : announced_state::ready));
    auto& observer = *fleet.nodes.back();
    auto& next = fleet.restart(leaving);
    next.node.on_heartbeat(next.make_heartbeat(1), [] {}); // Sent before the departure.
    for (int count = 0; count < 25; ++count) {
        fleet.run_for(200ms);
        INFO("after " << 200 * count << " ms, written again: " << is_written_again);
        CHECK(known_state(observer, leaving) == announced_state::left);
    }
    CHECK(fleet.stored_state(leaving) == announced_state::left);
    CHECK(known_state(next, leaving) == announced_state::left);
}

TEST_CASE("store_restore: a removed row that comes back adds no owner", "[platform]")
{
    // Guards against requests to owners that are gone.
    restored_fleet fleet(no_data_centres);
    auto& reader = fleet.add();
    owner_record gone;
    gone.address = "127.0.0.1:1";
    gone.data_centre = "dc";
    gone.service = "s";
    gone.state = announced_state::ready;
    gone.revision = 5;
    fleet.store.write(owner_table, gone.address, owner_record_codec::encode(gone));
    fleet.run_for(owner_poll_time);
    REQUIRE(reader.node.owners().find(gone.address) != nullptr);
    fleet.store.remove(owner_table, gone.address);
    fleet.run_for(owner_poll_time);
    REQUIRE(reader.node.owners().find(gone.address) == nullptr);
    fleet.store.restore(owner_poll_time + 500ms);
    REQUIRE(fleet.store.version_of(owner_table, gone.address) > 0);
    fleet.run_for(owner_poll_time);
    CHECK(reader.node.owners().find(gone.address) == nullptr);
}

TEST_CASE("store_restore: a late write does not replace a row that has its version anew",
          "[platform]")
{
    // Guards against a departure that is undone in the store: a write that was sent before the
    // restore is performed after it, and its condition names a version that the row has been given
    // again.
    restored_fleet fleet(no_data_centres);
    auto& node = fleet.add();
    fleet.run_for(1s);
    const auto version = fleet.store.version_of(owner_table, node.peer_address);
    REQUIRE(version > 0);
    fleet.store.delay_next_write();
    auto heartbeat = node.make_heartbeat(2);
    heartbeat.start_time_ms = 2;
    node.node.on_heartbeat(heartbeat, [] {});
    fleet.run_for(50ms);
    fleet.store.restore(1500ms);
    REQUIRE(fleet.store.version() == version - 1);
    node.node.on_departure(heartbeat.id, [] {});
    for (int count = 0; count < 100 && fleet.stored_state(node) != announced_state::left; ++count) {
        fleet.run_for(20ms);
    }
    fleet.run_for(20ms);
    fleet.store.perform_late_write();
    fleet.run_for(20ms);
    CHECK(fleet.stored_state(node) == announced_state::left);
    fleet.run_for(max_return_time);
    CHECK(fleet.stored_state(node) == announced_state::left);
}

TEST_CASE("store_restore: a plan never goes back", "[platform]")
{
    // Guards against daemons that return to the operators' earlier plan while the store has only
    // that one.
    restored_fleet fleet({"dc"});
    fleet.write_plan(2);
    fleet.run_for(1s);
    REQUIRE(fleet.with_plan(2) == store_test_fleet::daemons_per_data_centre);
    fleet.store.restore(1500ms);
    REQUIRE(fleet.store.value_of(wire::operator_table, wire::plan_key) == plan_text(1));
    for (int count = 0; count < 10; ++count) {
        fleet.run_for(200ms);
        CHECK(fleet.with_plan(2) == store_test_fleet::daemons_per_data_centre);
    }
    fleet.write_plan(3);
    fleet.run_for(max_return_time);
    CHECK(fleet.with_plan(3) == store_test_fleet::daemons_per_data_centre);
}

TEST_CASE("store_restore: a version that is written again with other contents is used",
          "[platform]")
{
    // Guards against daemons that take the operators' new plan for the one in force, because a
    // plan with its version was lost with the store. Followers learn of it from their readers.
    // The last daemon has never read the store when it starts after the others.
    restored_fleet fleet({"dc"});
    fleet.run_for(3s);
    fleet.add();
    fleet.run_for(500ms);
    fleet.write_plan(2);
    fleet.run_for(1s);
    REQUIRE(fleet.with_plan(2) == static_cast<long>(fleet.nodes.size()));
    fleet.store.restore(1200ms);
    const bool is_seen_between = GENERATE(true, false);
    if (is_seen_between) {
        fleet.run_for(1s);
    }
    fleet.store.write(wire::operator_table, wire::plan_key, other_plan_text(2));
    fleet.run_for(max_return_time);
    for (const auto& each : fleet.nodes) {
        CHECK(has_other_service(*each));
        CHECK(each->plan_version() == 2);
    }
}

TEST_CASE("store_restore: an era that is not sent or unreadable changes nothing", "[platform]")
{
    // Guards against a daemon that refuses the responses of a store without eras, or lists it over
    // and over again.
    const std::string era = GENERATE("", "x", "-1", "99999999999999999999999");
    restored_fleet fleet(no_data_centres);
    fleet.store.set_era(era);
    auto& node = fleet.add();
    fleet.run_for(2s);
    CHECK(node.plan_version() == 1);
    CHECK(fleet.stored_state(node) == announced_state::ready);
    fleet.write_plan(2);
    fleet.run_for(1s);
    CHECK(node.plan_version() == 2);
    CHECK(fleet.store.writes == 1);
}

TEST_CASE("store_restore: responses of an earlier era are ignored until it lasts", "[platform]")
{
    // Guards against an old response that arrives late and replaces what is known, and against a
    // daemon that never listens again to a store whose era has been reset.
    restored_fleet fleet(no_data_centres);
    fleet.store.set_era("7");
    auto& node = fleet.add();
    fleet.run_for(2s);
    REQUIRE(node.plan_version() == 1);
    fleet.store.set_era("6");
    fleet.write_plan(2);
    fleet.run_for(1s);
    CHECK(node.plan_version() == 1);
    fleet.run_for(10s);
    CHECK(node.plan_version() == 2);
}
