#include "support/relay_test_fleet.h"

#include <catch2/catch.hpp>

using namespace galenaroad;
using namespace std::chrono_literals;

namespace {

constexpr const char* action_path = "/once/x";

/// Answers each order after a while, as an upstream that works.
void respond_after(relay_test_fleet& fleet, relay_test_node& node, std::chrono::milliseconds time)
{
    node.upstream.handler = [&fleet, &node, time](server_exchange&) {
        const auto held = node.upstream.requests.back();
        fleet.loop.after(time, [held] { relay_test_upstream::respond(*held, 200, "done"); });
    };
}

} // namespace

TEST_CASE("owner_call: an answer outlives the connection of its request", "[relay]")
{
    // Guards against "outcome unknown" for an order that ran, after a reset between daemons.
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

TEST_CASE("owner_call: a connection that falls silent is not waited for", "[relay]")
{
    // Guards against an order that is answered at its deadline only, since its connection fell
    // silent while the upstream worked.
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

TEST_CASE("owner_call: a request that was lost on the way is sent elsewhere", "[relay]")
{
    // Guards against an order that fails although no upstream has seen it.
    relay_test_fleet fleet;
    fleet.b->announce();
    CHECK(fleet.send("POST", action_path).status == 200);
    relay_test_node other(fleet.loop, fleet.shared, fleet.log, "c");
    other.announce();
    other.upstream.handler = [](auto& client) {
        relay_test_upstream::respond(client, 200, "elsewhere");
    };
    // The next request takes the connection that the first one has left open.
    fleet.b->link->silence_open();
    const auto response = fleet.send("POST", action_path);
    CHECK(response.status == 200);
    CHECK(response.body == "elsewhere");
    CHECK(fleet.b->upstream.requests.size() == 1);
    CHECK(other.upstream.requests.size() == 1);
}

TEST_CASE("owner_call: an owner that ended is not waited for", "[relay]")
{
    // Guards against callers that wait until their deadline for an answer that is gone, and
    // against a false "not run" of the owner's next start.
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

TEST_CASE("owner_call: a search at a silent owner is repeated elsewhere at once", "[relay]")
{
    // Guards against trouble-3 on cista-pipa-mesh: owners behind a cut link were asked again and
    // again, and each request waited for half of its time.
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
    // The owner that did not answer is avoided for a while.
    CHECK(slow <= 1);
    CHECK(other.upstream.requests.size() >= 5);
}
