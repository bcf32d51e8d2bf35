#include "support/relay_test_fleet.h"

#include <catch2/catch.hpp>

using namespace galenaroad;
using namespace std::chrono_literals;

namespace {

constexpr const char* action_path = "/once/x";

/// Makes the upstream respond to each action after a delay.
void respond_after(relay_test_fleet& fleet, relay_test_node& node, std::chrono::milliseconds time)
{
    node.upstream.handler = [&fleet, &node, time](server_exchange&) {
        const auto request = node.upstream.requests.back();
        fleet.loop.after(time, [request] { relay_test_upstream::respond(*request, 200, "done"); });
    };
}

} // namespace

TEST_CASE("owner_call: a response survives the connection of its request", "[relay]")
{
    // Guards against the result "outcome unknown" for an action that ran when a connection between
    // daemons is reset.
    relay_test_fleet fleet;
    fleet.b->announce();
    respond_after(fleet, *fleet.b, 500ms);
    const auto reset_after = GENERATE(100ms, 480ms);
    fleet.loop.after(reset_after, [&] { fleet.b->link->reset_all(); });
    const auto response = fleet.send("POST", action_path);
    CHECK(response.status == 200);
    CHECK(response.body == "done");
    CHECK(fleet.b->upstream.requests.size() == 1);
}

TEST_CASE("owner_call: a response is fetched when its connection becomes silent", "[relay]")
{
    // Guards against an action whose response arrives only at its deadline because its connection
    // became silent while the upstream worked.
    relay_test_fleet fleet;
    fleet.b->announce();
    fleet.client_timeout = 3s;
    respond_after(fleet, *fleet.b, 1200ms);
    fleet.loop.after(300ms, [&] { fleet.b->link->silence_open(); });
    const auto start = fleet.time.steady_now();
    const auto response = fleet.send("POST", action_path);
    CHECK(response.status == 200);
    CHECK(fleet.time.steady_now() - start < 1900ms);
    CHECK(fleet.b->upstream.requests.size() == 1);
}

TEST_CASE("owner_call: a request that was lost in transit is sent to another owner", "[relay]")
{
    // Guards against an action that fails although no upstream has received it.
    relay_test_fleet fleet;
    fleet.b->announce();
    CHECK(fleet.send("POST", action_path).status == 200);
    relay_test_node other(fleet.loop, fleet.shared, fleet.log, "c");
    other.announce();
    other.upstream.handler = [](auto& client) {
        relay_test_upstream::respond(client, 200, "elsewhere");
    };
    // The next request reuses the connection that the first one has left open.
    fleet.b->link->silence_open();
    const auto response = fleet.send("POST", action_path);
    CHECK(response.status == 200);
    CHECK(response.body == "elsewhere");
    CHECK(fleet.b->upstream.requests.size() == 1);
    CHECK(other.upstream.requests.size() == 1);
}

TEST_CASE("owner_call: a call to an owner that has ended fails at once", "[relay]")
{
    // Guards against callers that wait until their deadline for a lost response, and against a
    // false "not run" from the restarted owner.
    relay_test_fleet fleet;
    fleet.b->announce();
    fleet.b->upstream.handler = [](auto&) {};
    relay_test_node next(fleet.loop, fleet.shared, fleet.log, "next");
    const bool starts_again = GENERATE(false, true);
    fleet.loop.after(200ms, [&] {
        const auto address = fleet.b->peer_address;
        fleet.b->link.reset();
        if (starts_again) {
            next.link = std::make_unique<soak_link>(fleet.loop, address, next.listen_address);
        }
    });
    const auto start = fleet.time.steady_now();
    const auto response = fleet.send("POST", action_path);
    CHECK(response.status == 502);
    CHECK(fleet.time.steady_now() - start < 1s);
    CHECK(fleet.b->upstream.requests.size() == 1);
}

TEST_CASE("owner_call: a safe request at a silent owner is retried at another at once", "[relay]")
{
    // Guards against asking owners behind a cut link again and again, which delayed each request by
    // half of its time.
    relay_test_fleet fleet;
    fleet.client_timeout = 3s;
    fleet.b->announce();
    CHECK(fleet.send("GET", "/safe/x").status == 200);
    relay_test_node other(fleet.loop, fleet.shared, fleet.log, "c");
    other.announce();
    fleet.b->link->silence_open();
    int slow = 0;
    for (int request = 0; request < 6; ++request) {
        const auto start = fleet.time.steady_now();
        CHECK(fleet.send("GET", "/safe/x").status == 200);
        const auto elapsed = fleet.time.steady_now() - start;
        CHECK(elapsed < 900ms);
        slow += elapsed > 300ms ? 1 : 0;
    }
    // The owner that did not answer is avoided for some time.
    CHECK(slow <= 1);
    CHECK(other.upstream.requests.size() >= 5);
}
