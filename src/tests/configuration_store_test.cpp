#include "configuration/configuration_store.h"

#include "configuration/configuration_committer.h"
#include "configuration/contract_json.h"
#include "experiment/control_fleet.h"
#include "platform/memory_object_store.h"
#include "platform/memory_table_service.h"

#include <catch2/catch.hpp>
#include <map>
#include <rapidcheck.h>

using namespace galenaroad;
using namespace std::chrono_literals;

namespace {

contract sample(std::uint64_t version)
{
    contract value;
    value.business = "tetteh";
    value.version = version;
    value.writer = "test";
    value.services.push_back({"finder", 20, detection_policy::fast});
    value.routes.push_back({"/finder", {"GET"}, "finder"});
    return value;
}

/// Checks that the version on a running daemon never decreases.
class version_checker {
public:
    void restarted(int daemon) { m_seen.erase(daemon); }

    void check(const control_fleet& fleet)
    {
        for (int i = 0; i < fleet.size(); ++i) {
            if (fleet.running(i)) {
                observe(i, fleet[i].store().version_of("tetteh"));
            }
        }
    }

    void observe(int daemon, std::uint64_t version)
    {
        auto& highest = m_seen[daemon];
        m_reverted = m_reverted || version < highest;
        highest = std::max(highest, version);
    }

    bool reverted() const { return m_reverted; }

private:
    std::map<int, std::uint64_t> m_seen;
    bool m_reverted = false;
};

bool in_force_everywhere(const control_fleet& fleet, std::uint64_t version)
{
    for (int i = 0; i < fleet.size(); ++i) {
        if (fleet.running(i) && fleet[i].store().version_of("tetteh") < version) {
            return false;
        }
    }
    return true;
}

bool all_ready(const control_fleet& fleet)
{
    for (int i = 0; i < fleet.size(); ++i) {
        if (!fleet.running(i) || !fleet[i].follower().ready()) {
            return false;
        }
    }
    return true;
}

/// A fleet whose daemons read a table service.
struct fleet_with_store {
    explicit fleet_with_store(int daemons, std::uint64_t seed)
        : fleet({daemons, 3, 2, 0, 1, seed, {}})
    {
        fleet.use_table(table, objects);
        fleet.start_all();
        const auto took =
            fleet.run_until(60s, [&] { return fleet.converged() && all_ready(fleet); });
        RC_ASSERT(took >= 0ms);
    }

    /// Commits the next version without notifying any daemon.
    void commit()
    {
        configuration_committer committer(table, objects);
        const auto base = committer.read("tetteh");
        RC_ASSERT(base.has_value());
        const auto writer = "operator-" + std::to_string(base->version);
        const auto outcome = committer.commit(*base, sample(0), writer);
        RC_ASSERT(outcome && outcome->accepted);
        accepted = outcome->current.version;
    }

    memory_table_service table;
    memory_object_store objects;
    control_fleet fleet;
    std::uint64_t accepted = 0;
};

} // namespace

TEST_CASE("configuration_store: only a higher version replaces a contract", "[configuration]")
{
    // Guards against a late or duplicate message that reverts a contract to an earlier version.
    CHECK(rc::check("the version held never decreases", [] {
        const auto versions =
            *rc::gen::container<std::vector<std::uint64_t>>(rc::gen::inRange<std::uint64_t>(1, 20));
        configuration_store store;
        std::uint64_t highest = 0;
        for (const auto version : versions) {
            const contract_record record{{"tetteh", version},
                                         deflate_body(to_json(sample(version)))};
            const bool replaced =
                version % 2 == 0 ? store.adopt(record) : store.apply(sample(version));
            RC_ASSERT(replaced == (version > highest));
            highest = std::max(highest, version);
            RC_ASSERT(store.version_of("tetteh") == highest);
        }
    }));
}

TEST_CASE("configuration_store: records with corrupt bodies are ignored", "[configuration]")
{
    // Guards against a record whose body is corrupt or belongs to another version.
    configuration_store store;
    CHECK_FALSE(store.adopt({{"tetteh", 3}, "no deflated text"}));
    CHECK_FALSE(store.adopt({{"tetteh", 3}, deflate_body("{}")}));
    CHECK_FALSE(store.adopt({{"tetteh", 3}, deflate_body(to_json(sample(2)))}));
    CHECK(store.heads().empty());
    CHECK(store.adopt({{"tetteh", 3}, deflate_body(to_json(sample(3)))}));
    CHECK(to_json(*store.snapshot()->contracts.at("tetteh")) == to_json(sample(3)));
}

TEST_CASE("configuration: an accepted version is in force within 3 s", "[configuration]")
{
    // Guards against slow dissemination (invariant 7) when no daemon is notified of the commit.
    CHECK(rc::check("commit to force everywhere, with 5 % loss", [] {
        const auto daemons = *rc::gen::inRange(2, 40);
        fleet_with_store all(daemons, *rc::gen::arbitrary<std::uint64_t>());
        all.fleet.faults().loss = 0.05;
        for (int i = 0; i < 3; ++i) {
            all.commit();
            const auto done = [&] { return in_force_everywhere(all.fleet, all.accepted); };
            RC_ASSERT(all.fleet.run_until(3s, done) >= 0ms);
        }
    }));
}

TEST_CASE("configuration: versions never decrease under faults", "[configuration]")
{
    // Guards against reverts after store outages, restarts, one-way network cuts and reordering,
    // and against a restarted daemon that is ready with an older version than its peers have.
    CHECK(rc::check("random faults and commits", [] {
        fleet_with_store all(8, *rc::gen::arbitrary<std::uint64_t>());
        version_checker checker;
        auto& fleet = all.fleet;
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 48));
        for (const auto step : steps) {
            const int daemon = step % 8;
            switch (step / 8) {
            case 0:
                all.table.inject({});
                all.commit();
                break;
            case 1:
                all.table.inject({[](const store_call&) { return true; }, {}, {}});
                break;
            case 2:
                fleet.start(daemon);
                checker.restarted(daemon);
                break;
            case 3:
                fleet.faults().cut = [=](int from, int to) { return from == daemon && to != 7; };
                break;
            case 4:
                fleet.faults().cut = {};
                break;
            default:
                fleet.faults().extra_delay = std::chrono::milliseconds(daemon * 100);
            }
            for (int i = 0; i < 10; ++i) {
                fleet.run_for(100ms);
                checker.check(fleet);
            }
        }
        fleet.faults() = {};
        const auto done = [&] {
            return all_ready(fleet) && in_force_everywhere(fleet, all.accepted);
        };
        RC_ASSERT(fleet.run_until(60s, done) >= 0ms);
        RC_ASSERT(!checker.reverted());
    }));
}

TEST_CASE("configuration: the version checker detects a revert", "[configuration]")
{
    // Shows that the checker detects an injected fault: a version that decreases.
    version_checker checker;
    checker.observe(1, 4);
    checker.observe(2, 3);
    CHECK_FALSE(checker.reverted());
    checker.observe(1, 3);
    CHECK(checker.reverted());
}

TEST_CASE("configuration: the 3 s check detects a daemon that is cut off", "[configuration]")
{
    // Shows that the check of the time limit detects an injected fault: a daemon that receives no
    // messages.
    fleet_with_store all(6, 5);
    all.table.inject({});
    all.fleet.faults().cut = [](int, int to) { return to == 3; };
    all.fleet[0].store().apply(sample(1));
    all.table.inject({[](const store_call&) { return true; }, {}, {}});
    CHECK(all.fleet.run_until(3s, [&] { return in_force_everywhere(all.fleet, 1); }) < 0ms);
}

TEST_CASE("configuration: a daemon becomes ready from peers alone", "[configuration]")
{
    // Guards against daemons that cannot start while the store is unavailable, and against daemons
    // without contracts that make each other ready after a restart of the whole fleet.
    fleet_with_store all(6, 6);
    all.commit();
    REQUIRE(all.fleet.run_until(3s, [&] { return in_force_everywhere(all.fleet, 1); }) >= 0ms);
    all.table.inject({[](const store_call&) { return true; }, {}, {}});
    all.fleet.start(2);
    CHECK_FALSE(all.fleet[2].follower().ready());
    const auto ready = [&] { return all.fleet[2].follower().ready(); };
    REQUIRE(all.fleet.run_until(5s, ready) >= 0ms);
    CHECK(all.fleet[2].store().version_of("tetteh") == 1);
    all.fleet.start_all();
    all.fleet.run_for(20s);
    for (int i = 0; i < 6; ++i) {
        CHECK_FALSE(all.fleet[i].follower().ready());
    }
    all.table.inject({});
    CHECK(all.fleet.run_until(5s, [&] {
        return all_ready(all.fleet) && in_force_everywhere(all.fleet, 1);
    }) >= 0ms);
}
