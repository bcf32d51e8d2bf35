#include "experiment/fleet_history_checker.h"

#include <catch2/catch.hpp>

using namespace galenaroad;
using namespace std::chrono_literals;

namespace {

call_event search(const std::string& id)
{
    call_event call;
    call.daemon = "ash-a";
    call.request_id = id;
    call.sent = 1000ms;
    call.ended = 1010ms;
    call.deadline = 500ms;
    call.status = 200;
    call.has_head = true;
    call.expected = call.received = "belt";
    return call;
}

call_event download(const std::string& id)
{
    auto call = search(id);
    call.kind = call_kind::download;
    call.asked = call.body = 1000;
    return call;
}

call_event refused_order(const std::string& id)
{
    auto call = search(id);
    call.kind = call_kind::order;
    call.status = 503;
    call.error = "upstream_busy";
    call.run = "not_run";
    return call;
}

/// A history that keeps every rule and holds an event of every type.
fleet_history good_history()
{
    fleet_history history;
    history.calls = {search("r1"), download("r2"), refused_order("r3")};
    history.runs = {{"orders-1", "k1", "r4"}, {"orders-1", "", "r5"}};
    history.accepts = {{2, 1000ms}};
    history.versions = {{"ash-a", 1, 900ms}, {"ash-a", 2, 4500ms}};
    history.leaves = {{"finder-1", 1000ms}};
    history.started = {{"finder-1", 5, 1500ms}, {"finder-1", 9, 4000ms}, {"finder-1", 9, 6000ms}};
    history.stops = {{"ash-b", 1005ms, 0}};
    return history;
}

using rules = std::set<fleet_rule>;

rules broken(const fleet_history& history)
{
    return fleet_history_checker(history).broken_rules();
}

} // namespace

TEST_CASE("fleet_history_checker: a correct history passes", "[history]")
{
    // Guards against a checker that reports what the specification allows.
    CHECK(broken(good_history()).empty());
}

TEST_CASE("fleet_history_checker: each planted fault of actions is found", "[history]")
{
    // Guards against a checker that misses a duplicate action or a false "not run".
    auto history = good_history();
    history.runs.push_back({"orders-2", "k1", "r6"});
    CHECK(broken(history) == rules{fleet_rule::one_run});
    history = good_history();
    history.runs.push_back({"orders-2", "", "r5"});
    CHECK(broken(history) == rules{fleet_rule::one_run});
    history = good_history();
    history.runs.push_back({"orders-1", "k3", "r3"});
    CHECK(broken(history) == rules{fleet_rule::true_not_run});
    history = good_history();
    history.calls[2].key = "k3";
    history.runs.push_back({"orders-1", "k3", "r9"});
    CHECK(broken(history) == rules{fleet_rule::true_not_run});
}

TEST_CASE("fleet_history_checker: each planted fault of responses is found", "[history]")
{
    // Guards against a checker that accepts truncated, altered, crossed, late or absent responses.
    auto history = good_history();
    history.calls[1].body = 999;
    CHECK(broken(history) == rules{fleet_rule::whole_download});
    history = good_history();
    history.calls[1].received = "other checksum";
    CHECK(broken(history) == rules{fleet_rule::whole_download});
    history = good_history();
    history.calls[0].received = "filter";
    CHECK(broken(history) == rules{fleet_rule::own_response});
    history = good_history();
    history.stops.clear();
    history.calls[0].ended = 1701ms;
    CHECK(broken(history) == rules{fleet_rule::in_time});
    history.outages = {{"ash-b", 900ms, 2000ms}};
    CHECK(broken(history) == rules{fleet_rule::in_time});
    history.outages = {{"ash-a", 900ms, 2000ms}};
    CHECK(broken(history).empty());
    history = good_history();
    history.calls[0].status = 0;
    history.calls[0].has_head = false;
    CHECK(broken(history) == rules{fleet_rule::answered});
}

TEST_CASE("fleet_history_checker: each planted fault of versions is found", "[history]")
{
    // Guards against a checker that misses a reverted or late configuration.
    auto history = good_history();
    history.versions = {{"ash-a", 2, 1500ms}, {"ash-a", 1, 1600ms}};
    CHECK(broken(history) == rules{fleet_rule::version_order});
    history = good_history();
    history.versions = {{"ash-a", 1, 4001ms}, {"ash-a", 2, 4002ms}};
    CHECK(broken(history) == rules{fleet_rule::version_in_force});
    history.outages = {{"ash-a", 1500ms, 3000ms}};
    CHECK(broken(history).empty());
    history.versions.push_back({"ash-a", 1, 6001ms});
    CHECK(broken(history) == rules{fleet_rule::version_order, fleet_rule::version_in_force});
}

TEST_CASE("fleet_history_checker: each planted fault of leaving and stopping is found", "[history]")
{
    // Guards against a checker that misses work sent to a leaving server or a cut request.
    auto history = good_history();
    history.started.push_back({"finder-1", 10, 6100ms});
    CHECK(broken(history) == rules{fleet_rule::leaving_is_quiet});
    history = good_history();
    history.stops[0].exit_code = 1;
    CHECK(broken(history) == rules{fleet_rule::stop_is_graceful});
    history = good_history();
    history.calls[0].sent = 800ms;
    history.calls[0].status = 0;
    CHECK(broken(history) == rules{fleet_rule::stop_is_graceful});
    history = good_history();
    history.calls[2].sent = 800ms;
    history.calls[2].error = "leaving";
    CHECK(broken(history).empty());
    history.stops[0].daemon = "ash-a";
    CHECK(broken(history) == rules{fleet_rule::stop_is_graceful});
}
