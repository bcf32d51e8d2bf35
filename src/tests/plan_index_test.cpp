#include "fleet/plan_index.h"

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
