#include "tests/support/test_fleet.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <thread>

using namespace galenaroad;
using namespace std::chrono_literals;

namespace {

const std::string contract_text = R"(business: tetteh
hosts: [tetteh.example]
services:
  - {name: finder, floor_slots: 1}
  - {name: orders, floor_slots: 1}
  - {name: manuals, floor_slots: 1}
routes:
  - {prefix: /finder, service: finder, timeout_ms: 2000}
  - {prefix: /orders, service: orders, class: action, once: true, timeout_ms: 2000}
  - {prefix: /manuals, service: manuals, class: transfer, timeout_ms: 30000}
)";

/// Two daemons; the backend servers run beside the second one only.
struct two_daemons : test_fleet {
    two_daemons() : test_fleet(contract_text)
    {
        start_daemon("ash-a");
        start_daemon("ash-b");
    }

    bool serves(const std::string& target) const
    {
        return wait_until([&] { return send("ash-a", {"GET", target}).status == 200; });
    }
};

} // namespace

TEST_CASE("proxy_daemon: a request reaches a backend server beside another daemon", "[daemon]")
{
    // Guards against a break anywhere on the path entry, owner, backend server and back.
    two_daemons fleet;
    fleet.start_backend("finder-1", "finder", "ash-b");
    REQUIRE(fleet.serves("/finder/belts?q=v12"));
    const auto answer = fleet.send("ash-a", {"GET", "/finder/belts?q=v12"});
    CHECK(answer.status == 200);
    CHECK(answer.json()["results"][0] == "v12-1");
    CHECK(answer.json()["request_id"] == answer.headers.at("X-Request-Id"));
}

TEST_CASE("proxy_daemon: bodies pass unchanged and a download does not grow the daemons",
          "[daemon]")
{
    // Guards against chunks that are lost or reordered, and against a daemon that buffers a body.
    two_daemons fleet;
    fleet.start_backend("manuals-1", "manuals", "ash-b");
    REQUIRE(fleet.serves("/manuals/a?bytes=10"));
    constexpr long mebibyte = 1024;
    constexpr auto download_bytes = 256L * 1024 * 1024;
    const auto target = "/manuals/b?bytes=" + std::to_string(download_bytes);
    fleet.send("ash-a", {"GET", "/manuals/a?bytes=4000000"});
    const auto entry_before = fleet.process("ash-a").resident_kib();
    const auto owner_before = fleet.process("ash-b").resident_kib();
    const auto answer = fleet.send("ash-a", {"GET", target});
    CHECK(answer.status == 200);
    CHECK(answer.body.size() == download_bytes);
    CHECK(fleet.process("ash-a").resident_kib() - entry_before < 16 * mebibyte);
    CHECK(fleet.process("ash-b").resident_kib() - owner_before < 16 * mebibyte);
}

TEST_CASE("proxy_daemon: a truncated response is never passed on as a complete one", "[daemon]")
{
    // Guards against a response without its end that looks complete, and against the reuse of its
    // connection, which would give the next request a wrong response.
    two_daemons fleet;
    fleet.start_backend("manuals-1", "manuals", "ash-b");
    REQUIRE(fleet.serves("/manuals/a?bytes=10"));
    const auto backend = fleet.address("manuals-1", "address");
    test_fleet::send_to(backend, {"PUT", "/_faults", R"({"truncate": true})"});
    CHECK(fleet.send("ash-a", {"GET", "/manuals/a?bytes=1000000"}).status == 0);
    test_fleet::send_to(backend, {"PUT", "/_faults", R"({"truncate": false})"});
    for (int i = 0; i < 5; ++i) {
        const auto size = 1000 + i;
        const auto answer =
            fleet.send("ash-a", {"GET", "/manuals/a?bytes=" + std::to_string(size)});
        CHECK(answer.status == 200);
        CHECK(answer.body.size() == static_cast<std::size_t>(size));
    }
}

TEST_CASE("proxy_daemon: refusals carry what is known about the run", "[daemon]")
{
    // Guards against errors without kind, run state or Retry-After, and against requests that two
    // HTTP parsers could split differently.
    two_daemons fleet;
    fleet.start_backend("finder-1", "finder", "ash-b");
    REQUIRE(fleet.serves("/finder/a"));
    const auto kind_of_answer = [&](const test_request& request) {
        return fleet.send("ash-a", request).json().value("kind", "");
    };
    const auto unserved = fleet.send("ash-a", {"POST", "/orders/1", "x"});
    CHECK(unserved.status == 503);
    CHECK(unserved.json()["kind"] == "service_unavailable");
    CHECK(unserved.json()["run"] == "not_run");
    CHECK(unserved.headers.at("Retry-After") == "2");
    CHECK(unserved.headers.at("Content-Type") == "application/problem+json");
    CHECK(kind_of_answer({"GET", "/unknown"}) == "route_not_found");
    CHECK(kind_of_answer({"GET", "/finder/a", "", {{"X-Call-Depth", "9"}}}) == "call_too_deep");
    CHECK(kind_of_answer({"GET", "/finder/%2e%2e/orders"}) == "invalid_request");
    const std::string large(2U << 20U, 'x');
    CHECK(kind_of_answer({"PUT", "/finder/a", large}) == "request_too_large");
    const auto raw = [&](const std::string& fields) {
        return test_fleet::send_raw(fleet.address("ash-a", "entry"),
                                    "POST /finder/a HTTP/1.1\r\nHost: tetteh.example\r\n" + fields +
                                        "\r\n0\r\n\r\nGET /finder/b HTTP/1.1\r\n\r\n");
    };
    for (const auto& answer : {raw("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n"),
                               raw("Content-Length: 5\r\nContent-Length: 6\r\n"),
                               raw("Transfer-Encoding: chunked, identity\r\n")}) {
        CHECK(answer.find("HTTP/1.1 400") == 0);
        CHECK(answer.find("HTTP/1.1", 1) == std::string::npos);
    }
}

TEST_CASE("proxy_daemon: a slow backend server is answered for within the deadline", "[daemon]")
{
    // Guards against callers that wait past their deadline, and against a late response that
    // reaches the next request.
    two_daemons fleet;
    fleet.start_backend("finder-1", "finder", "ash-b");
    REQUIRE(fleet.serves("/finder/a"));
    const auto backend = fleet.address("finder-1", "address");
    test_fleet::send_to(backend, {"PUT", "/_faults", R"({"extra_latency_ms": 1500})"});
    const auto start = std::chrono::steady_clock::now();
    const auto answer =
        fleet.send("ash-a", {"GET", "/finder/a?q=late", "", {{"X-Request-Timeout-Ms", "400"}}});
    const auto elapsed = std::chrono::steady_clock::now() - start;
    CHECK(answer.status == 504);
    CHECK(answer.json()["kind"] == "deadline_exceeded");
    CHECK(elapsed < 600ms);
    test_fleet::send_to(backend, {"PUT", "/_faults", R"({"extra_latency_ms": 0})"});
    const auto next = fleet.send("ash-a", {"GET", "/finder/a?q=next"});
    CHECK(next.json()["query"] == "next");
}

TEST_CASE("proxy_daemon: a planned stop interrupts no request in flight", "[daemon]")
{
    // Guards against a stop that cuts a download, admits new work or leaves peers uninformed.
    two_daemons fleet;
    fleet.start_backend("manuals-1", "manuals", "ash-b", {"--service-time-ms", "1500"});
    fleet.start_backend("manuals-2", "manuals", "ash-a");
    REQUIRE(fleet.serves("/manuals/a?bytes=10"));
    std::vector<test_answer> answers(6);
    std::vector<std::thread> callers;
    for (auto& answer : answers) {
        callers.emplace_back([&] {
            answer = fleet.send("ash-b", {"GET", "/manuals/a?bytes=5000000"});
        });
    }
    std::this_thread::sleep_for(300ms);
    fleet.process("ash-b").terminate();
    std::this_thread::sleep_for(50ms);
    const auto refused = fleet.send("ash-b", {"GET", "/manuals/a?bytes=10"});
    CHECK(refused.status == 503);
    CHECK(refused.json()["kind"] == "leaving");
    CHECK(refused.json()["run"] == "not_run");
    CHECK(fleet.send("ash-a", {"GET", "/manuals/a?bytes=10"}).status == 200);
    for (auto& caller : callers) {
        caller.join();
    }
    for (const auto& answer : answers) {
        INFO(answer.body.substr(0, 300));
        CHECK(answer.status == 200);
        CHECK(answer.body.size() == 5000000);
    }
    CHECK(fleet.process("ash-b").wait() == 0);
}

TEST_CASE("proxy_daemon: an issued key runs its action once, whoever receives it", "[daemon]")
{
    // Guards against a second run when a request with the same key arrives at another daemon, and
    // against a key that is accepted for a different request.
    two_daemons fleet;
    fleet.start_backend("orders-1", "orders", "ash-b");
    const auto key_answer = fleet.send("ash-a", {"POST", "/v1/idempotency-keys"});
    REQUIRE(key_answer.status == 201);
    const std::string key = key_answer.json()["key"];
    const test_request order{"POST", "/orders/1", "belt", {{"Idempotency-Key", key}}};
    REQUIRE(test_fleet::wait_until([&] { return fleet.send("ash-a", order).status == 201; }));
    const auto first = fleet.send("ash-a", order);
    const auto second = fleet.send("ash-b", order);
    CHECK(first.status == 201);
    CHECK(second.status == 201);
    CHECK(second.body == first.body);
    auto changed = order;
    changed.body = "two belts";
    CHECK(fleet.send("ash-b", changed).json()["kind"] == "key_reused");
    const auto actions =
        test_fleet::send_to(fleet.address("orders-1", "address"), {"GET", "/_actions"});
    INFO(actions.body);
    CHECK(actions.json().dump().find("\"belt\"") != std::string::npos);
    CHECK(actions.json().dump().find("\"belt\"") == actions.json().dump().rfind("\"belt\""));
}

TEST_CASE("proxy_daemon: a caller's key is refused as not run without the store", "[daemon]")
{
    // Guards against an order that is dispatched although its key could not be claimed.
    two_daemons fleet;
    fleet.start_backend("orders-1", "orders", "ash-b");
    const test_request order{"POST", "/orders/1", "belt", {{"Idempotency-Key", "shop-17"}}};
    const auto unkeyed = [&] { return fleet.send("ash-a", {"POST", "/orders/2", "x"}).status; };
    REQUIRE(test_fleet::wait_until([&] { return unkeyed() == 201; }));
    const auto answer = fleet.send("ash-a", order);
    CHECK(answer.json()["kind"] == "store_unavailable");
    CHECK(answer.json()["run"] == "not_run");
    const auto actions =
        test_fleet::send_to(fleet.address("orders-1", "address"), {"GET", "/_actions"});
    CHECK(actions.body.find("belt") == std::string::npos);
}

TEST_CASE("proxy_daemon: each hop of a request leaves a span of the caller's trace", "[daemon]")
{
    // Guards against a hop that starts a trace of its own or passes no context on.
    two_daemons fleet;
    fleet.start_backend("finder-1", "finder", "ash-b");
    REQUIRE(fleet.serves("/finder/a"));
    const std::string trace = "0af7651916cd43dd8448eb211c80319c";
    fleet.send("ash-a",
               {"GET", "/finder/a", "", {{"traceparent", "00-" + trace + "-b7ad6b7169203331-01"}}});
    const auto has_span = [&](const std::string& instance, const std::string& name) {
        return test_fleet::wait_until([&] {
            std::ifstream file(fleet.spans_file(instance));
            for (std::string line; std::getline(file, line);) {
                if (line.find(trace) != std::string::npos &&
                    line.find("\"name\":\"" + name + "\"") != std::string::npos) {
                    return true;
                }
            }
            return false;
        });
    };
    CHECK(has_span("ash-a", "entry"));
    CHECK(has_span("ash-b", "owner"));
    CHECK(has_span("ash-b", "backend_call"));
    const auto metrics =
        test_fleet::send_to(fleet.address("ash-a", "admin"), {"GET", "/metrics"}).body;
    CHECK(metrics.find("galenaroad_entry_requests_total") != std::string::npos);
}
