#include "fleet/plan_replica.h"

#include "relay/plan_change_source.h"
#include "support/test_plans.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace galenaroad;

namespace {

using plan_contents = std::map<std::string, std::string>; ///< Service of each route.

plan_contents contents_of(const plan_replica& replica)
{
    plan_contents contents;
    replica.in_force()->for_each_route(
        [&](const route_rule& rule) { contents[rule.name] = rule.targets.front().service; });
    return contents;
}

/// @return the change that a daemon sends to a peer, put together from all pages.
plan_change change_since(const plan_replica& from, std::uint64_t version)
{
    plan_change_source source(from, version);
    plan_change change;
    std::string position;
    do {
        const auto page = plan_page_codec::decode_page(source.page(position).text());
        REQUIRE(page.has_value());
        CHECK(source.is_last(position) == page->next_position.empty());
        if (position.empty()) {
            change = page->part;
        }
        else {
            change.routes.insert(change.routes.end(), page->part.routes.begin(),
                                 page->part.routes.end());
            change.services.insert(page->part.services.begin(), page->part.services.end());
            change.removed_routes.insert(change.removed_routes.end(),
                                         page->part.removed_routes.begin(),
                                         page->part.removed_routes.end());
        }
        position = page->next_position;
    } while (!position.empty());
    return change;
}

plan_contents make_contents(int routes, const std::string& service)
{
    plan_contents contents;
    for (int index = 0; index < routes; ++index) {
        contents["route-" + std::to_string(index)] = service;
    }
    return contents;
}

} // namespace

TEST_CASE("plan_replica: a change holds only what has changed", "[fleet]")
{
    // Guards against a change of one route that costs as much as the whole plan.
    constexpr int routes = 5000;
    plan_replica replica;
    auto contents = make_contents(routes, "s");
    replica.replace(make_test_plan(1, contents));
    contents["route-7"] = "t";
    contents.erase("route-8");
    replica.replace(make_test_plan(2, contents));
    const auto change = change_since(replica, 1);
    CHECK(change.base_version == 1);
    CHECK(change.routes.size() == 1);
    CHECK(change.removed_routes == std::vector<std::string>{"route-8"});
    CHECK(change.services.size() == 1);
    CHECK(change_since(replica, 0).routes.size() == contents.size());
}

TEST_CASE("plan_replica: a version that came and went is not lost", "[fleet]")
{
    // Guards against a daemon that keeps a route of a version which its peer has never had, because
    // the peer's contents before and after are equal.
    plan_replica skips;
    plan_replica follows;
    for (auto* const each : {&skips, &follows}) {
        each->replace(make_test_plan(1, {{"a", "s"}}));
    }
    follows.replace(make_test_plan(2, {{"a", "wrong"}}));
    skips.replace(make_test_plan(3, {{"a", "s"}}));
    CHECK_FALSE(follows.apply(change_since(skips, 2)));
    CHECK(follows.version() == 2);
    REQUIRE(follows.apply(change_since(skips, 0)));
    CHECK(contents_of(follows) == plan_contents{{"a", "s"}});
}

TEST_CASE("plan_replica: an older change or one for another version is not applied", "[fleet]")
{
    // Guards against a late response of a peer that takes back a newer plan.
    plan_replica ahead;
    ahead.replace(make_test_plan(1, {{"a", "s"}}));
    const auto old = change_since(ahead, 0);
    ahead.replace(make_test_plan(2, {{"a", "t"}}));
    const auto next = change_since(ahead, 1);
    plan_replica behind;
    CHECK_FALSE(behind.apply(next));
    CHECK(behind.version() == 0);
    REQUIRE(ahead.version() == 2);
    CHECK_FALSE(ahead.apply(old));
    REQUIRE(behind.apply(old));
    REQUIRE(behind.apply(next));
    CHECK(contents_of(behind) == contents_of(ahead));
}

TEST_CASE("plan_replica: the log does not grow without end", "[fleet]")
{
    // Guards against a daemon whose memory grows with the number of changes since its start.
    constexpr int routes = 1000;
    constexpr std::uint64_t versions = 40;
    plan_replica replica;
    for (std::uint64_t version = 1; version <= versions; ++version) {
        replica.replace(
            make_test_plan(version, make_contents(routes, "s" + std::to_string(version % 2))));
    }
    CHECK_FALSE(replica.knows_changes_since(1));
    CHECK(replica.knows_changes_since(versions - 1));
    CHECK(change_since(replica, 1).base_version == 0);
    CHECK(change_since(replica, versions - 1).base_version == versions - 1);
}

TEST_CASE("plan_replica: daemons that read or fetch any versions have the same contents", "[fleet]")
{
    // Guards against a difference that is made from another version than the one at the peer.
    const bool passed = rc::check("equal contents at equal versions", [] {
        constexpr int daemons = 4;
        std::vector<plan_replica> replicas(daemons);
        plan_contents contents{{"route-0", "s"}};
        std::map<std::uint64_t, plan_contents> written;
        const auto steps = *rc::gen::inRange(1, 60);
        std::uint64_t version = 0;
        for (int step = 0; step < steps; ++step) {
            const auto name = "route-" + std::to_string(*rc::gen::inRange(0, 5));
            const auto service = *rc::gen::inRange(0, 3);
            if (service == 0) {
                contents.erase(name);
            }
            else {
                contents[name] = "s" + std::to_string(service);
            }
            written[++version] = contents;
            auto& reader = replicas[*rc::gen::inRange(0, daemons)];
            if (*rc::gen::inRange(0, 2) == 0) {
                reader.replace(make_test_plan(version, contents));
            }
            const auto& from = replicas[*rc::gen::inRange(0, daemons)];
            auto& to = replicas[*rc::gen::inRange(0, daemons)];
            if (from.version() > to.version() && !to.apply(change_since(from, to.version()))) {
                RC_ASSERT(to.apply(change_since(from, 0)));
            }
            for (const auto& each : replicas) {
                if (each.version() > 0) {
                    RC_ASSERT(contents_of(each) == written[each.version()]);
                }
            }
        }
    });
    CHECK(passed);
}
