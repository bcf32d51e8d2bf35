#include "plan_decoder.h"

#include "fleet/plan_index.h"
#include "support/message_mutator.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace galenaroad;
using namespace std::chrono_literals;
using json = nlohmann::json;

namespace {

json route(const std::string& prefix)
{
    return {{"host", "h"},        {"prefix", prefix},        {"kind", "safe"},
            {"timeout_ms", 4000}, {"latency_goal_ms", 2500}, {"priority", 1},
            {"max_attempts", 2},  {"service", "s1"}};
}

json valid_plan()
{
    auto split = route("/split/");
    split.erase("service");
    split["split"] =
        json::array({{{"service", "s1"}, {"weight", 90}}, {{"service", "s2"}, {"weight", 10}}});
    return {
        {"version", 7},
        {"routes", {{"all", route("/")}, {"a", route("/a/")}, {"split", split}}},
        {"services",
         {{"s1", {{"health_path", "/health"}, {"max_connections", 330}}}, {"s2", json::object()}}},
        {"limits",
         {{"max_header_bytes", 100},
          {"max_body_bytes", 200},
          {"header_timeout_ms", 300},
          {"idle_timeout_ms", 400}}}};
}

tl::expected<routing_plan, std::string> decoded(const json& plan)
{
    return plan_decoder::decode({7, plan.dump()});
}

const route_rule& rule_named(const routing_plan& plan, const std::string& name)
{
    const auto found = std::find_if(plan.routes.begin(), plan.routes.end(),
                                    [&](const auto& each) { return each.name == name; });
    REQUIRE(found != plan.routes.end());
    return *found;
}

} // namespace

TEST_CASE("plan_decoder: requests of an unknown kind run at most once", "[platform]")
{
    // Guards against one unknown value that leaves the whole fleet without a plan.
    auto plan = valid_plan();
    plan["routes"]["a"]["kind"] = "odd";
    const auto read = decoded(plan);
    REQUIRE(read.has_value());
    CHECK(rule_named(*read, "a").kind == request_kind::at_most_once);
    CHECK(rule_named(*read, "all").kind == request_kind::safe);
    REQUIRE(read->errors.size() == 1);
    CHECK(read->errors.front().part == "route a");
    plan["routes"]["a"]["kind"] = "upload";
    const auto upload = decoded(plan);
    REQUIRE(upload.has_value());
    CHECK(rule_named(*upload, "a").kind == request_kind::upload);
    CHECK_FALSE(is_idempotent(request_kind::upload));
    CHECK(upload->errors.empty());
}

TEST_CASE("plan_decoder: a route without valid services keeps its prefix", "[platform]")
{
    // Guards against requests that are matched by the route of a shorter prefix instead.
    const auto target = GENERATE(
        json(nullptr), json(5), json::object(), json::array({5}),
        json::array({{{"service", "s1"}, {"weight", 90}}, {{"service", "s2"}, {"weight", "x"}}}),
        json::array({{{"service", "s1"}, {"weight", -1}}}),
        json::array({{{"service", "s1"}, {"weight", 0}}}));
    auto plan = valid_plan();
    plan["routes"]["a"].erase("service");
    plan["routes"]["a"]["split"] = target;
    const auto read = decoded(plan);
    REQUIRE(read.has_value());
    CHECK(read->has_all_routes);
    const plan_index index(*read);
    const auto* const matched = index.match("h", "/a/x");
    REQUIRE(matched != nullptr);
    CHECK(matched->name == "a");
    CHECK(matched->targets.empty());
    CHECK(index.match("h", "/b")->targets.size() == 1);
}

TEST_CASE("plan_decoder: a route with an invalid prefix is reported", "[platform]")
{
    // Guards against a 404 for a route that exists.
    auto plan = valid_plan();
    plan["routes"]["a"]["prefix"] = GENERATE(json(nullptr), json(""), json("a"), json("/a"));
    const auto read = decoded(plan);
    REQUIRE(read.has_value());
    CHECK_FALSE(read->has_all_routes);
    CHECK(read->routes.size() == 2);
    CHECK_FALSE(read->errors.empty());
}

TEST_CASE("plan_decoder: fields out of range keep their defaults", "[platform]")
{
    // Guards against limits of zero or less, which would refuse every request.
    auto plan = valid_plan();
    const auto value = GENERATE(json(-1), json(0), json("x"), json(1e300), json(nullptr));
    plan["routes"]["a"]["timeout_ms"] = value;
    plan["routes"]["a"]["max_attempts"] = value;
    plan["limits"]["max_header_bytes"] = value;
    plan["limits"]["header_timeout_ms"] = value;
    const auto read = decoded(plan);
    REQUIRE(read.has_value());
    CHECK(rule_named(*read, "a").timeout == route_rule().timeout);
    CHECK(rule_named(*read, "a").max_attempts == route_rule().max_attempts);
    CHECK(read->limits.max_head_bytes == client_limits().max_head_bytes);
    CHECK(read->limits.head_timeout == client_limits().head_timeout);
    CHECK(read->errors.size() == 4);
}

TEST_CASE("plan_decoder: without valid services, any service may have upstreams", "[platform]")
{
    // Guards against owners that refuse their upstreams because the services cannot be decoded.
    auto plan = valid_plan();
    plan["services"] = "none";
    const auto read = decoded(plan);
    REQUIRE(read.has_value());
    CHECK_FALSE(read->has_all_services);
    CHECK(read->routes.size() == 3);
}

TEST_CASE("plan_decoder: a plan without version or routes is rejected", "[platform]")
{
    // Guards against a fleet that responds to every request with 404.
    auto plan = valid_plan();
    plan.erase("routes");
    CHECK_FALSE(decoded(plan).has_value());
    plan = valid_plan();
    plan["version"] = "7";
    CHECK_FALSE(decoded(plan).has_value());
    CHECK_FALSE(plan_decoder::decode({7, valid_plan().dump().substr(0, 200)}).has_value());
}

TEST_CASE("plan_decoder: an invalid value affects only its own route", "[platform]")
{
    // Guards against a decoder that rejects a plan, or drops a valid route, because of an invalid
    // value elsewhere.
    const auto original = *decoded(valid_plan());
    CHECK(rc::check("other routes are unchanged", [&original] {
        message_mutator mutator(*rc::gen::arbitrary<std::uint64_t>());
        auto plan = valid_plan();
        const auto changed_path = mutator.change_one(plan);
        const auto read = decoded(plan);
        if (changed_path == "/version" || changed_path == "/routes") {
            return;
        }
        RC_ASSERT(read.has_value());
        for (const auto& rule : original.routes) {
            const bool is_changed = changed_path.rfind("/routes/" + rule.name, 0) == 0;
            const auto found =
                std::find_if(read->routes.begin(), read->routes.end(),
                             [&](const auto& each) { return each.name == rule.name; });
            if (is_changed) {
                continue;
            }
            RC_ASSERT(found != read->routes.end());
            RC_ASSERT(found->kind == rule.kind);
            RC_ASSERT(found->timeout == rule.timeout);
            RC_ASSERT(found->targets.size() == rule.targets.size());
        }
    }));
}
