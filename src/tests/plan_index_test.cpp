#include "fleet/plan_index.h"

#include "support/test_plans.h"

#include <catch2/catch.hpp>

using namespace galenaroad;

TEST_CASE("plan_index: the longest prefix of the host decides", "[fleet]")
{
    // Guards against a request that is routed by a shorter prefix or by a prefix of another host.
    routing_plan plan;
    for (const auto* const prefix : {"/", "/a/", "/a/b/"}) {
        route_rule rule;
        rule.name = prefix;
        rule.host = "One.example";
        rule.prefix = prefix;
        plan.routes.push_back(rule);
    }
    plan.routes.push_back({});
    plan.routes.back().host = "two.example";
    plan.routes.back().prefix = "/a/";
    plan.routes.back().name = "two";
    const plan_index index(plan);
    CHECK(index.match("one.example", "/a/b/c?x=/q/")->name == "/a/b/");
    CHECK(index.match("ONE.example:80", "/a/bc")->name == "/a/");
    CHECK(index.match("one.example", "/x")->name == "/");
    CHECK(index.match("two.example", "/a/b/")->name == "two");
    CHECK(index.match("two.example", "/b") == nullptr);
    CHECK(index.match("three.example", "/a/") == nullptr);
}

TEST_CASE("plan_index: a version made from a change equals one that is read", "[fleet]")
{
    // Guards against routes that are found although they were removed or moved to another host.
    const plan_index first(make_test_plan(1, {{"a", "s"}, {"b", "s"}, {"c", "s"}}));
    auto moved = make_test_plan(2, {{"a", "s"}, {"b", "t"}});
    moved.routes.front().host = "elsewhere.example";
    const auto made = first.with(first.difference_to(moved));
    CHECK(made.digest() == plan_index(moved).digest());
    CHECK(made.route_count() == 2);
    CHECK(made.match("a.example", "/") == nullptr);
    CHECK(made.match("c.example", "/") == nullptr);
    REQUIRE(made.match("elsewhere.example", "/") != nullptr);
    CHECK(made.match("b.example", "/")->targets.front().service == "t");
    CHECK(made.service("t") != nullptr);
    // The earlier version is unchanged: requests still use it.
    CHECK(first.match("a.example", "/") != nullptr);
    CHECK(first.match("b.example", "/")->targets.front().service == "s");
    CHECK(first.service("t") == nullptr);
}

TEST_CASE("plan_index: of routes with one address the greatest name decides", "[fleet]")
{
    // Guards against daemons that route the same requests differently, depending on the versions
    // that they have had.
    const auto add = [](routing_plan& plan, const std::string& name) {
        auto rule = make_test_route(name, "s-" + name);
        rule.host = "one.example";
        plan.routes.push_back(rule);
    };
    routing_plan both = make_test_plan(1, {});
    add(both, "b");
    add(both, "a");
    routing_plan one = make_test_plan(2, {});
    add(one, "a");
    const plan_index first(both);
    const auto second = first.with(first.difference_to(one));
    const auto third = second.with(second.difference_to(both));
    CHECK(first.match("one.example", "/")->name == "b");
    CHECK(second.match("one.example", "/")->name == "a");
    CHECK(third.match("one.example", "/")->name == "b");
}
