#include "tests/support/golden_session.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <fstream>
#include <iterator>

using namespace galenaroad;

namespace {

const std::string contract_text = R"(business: tetteh
hosts: [tetteh.example]
services:
  - {name: finder, floor_slots: 7}
  - {name: orders, floor_slots: 7}
  - {name: manuals, floor_slots: 7}
routes:
  - {prefix: /finder, service: finder, timeout_ms: 2000}
  - {prefix: /orders, service: orders, class: action, once: true, timeout_ms: 2000}
  - {prefix: /returns, service: orders, class: action, once: true, key_required: true}
  - {prefix: /manuals, service: manuals, class: transfer, timeout_ms: 30000}
)";

/// One daemon with a backend server for each service.
class golden_fleet : public test_fleet {
public:
    golden_fleet() : test_fleet(contract_text)
    {
        start_stores();
        start_daemon("ash-a");
        REQUIRE(apply(contract_text, "ash-a") == 0);
        for (const auto* const service : {"finder", "orders", "manuals"}) {
            start_backend(service + std::string("-1"), service, "ash-a");
            const test_request probe{"GET", '/' + std::string(service) + "?q=a"};
            REQUIRE(wait_until([&] { return send("ash-a", probe).status == 200; }));
        }
    }

    test_answer call(const std::string& title, const test_request& request)
    {
        return session.step(address("ash-a", "entry"), title, request);
    }

    void set_fault(const std::string& name, const std::string& text) const
    {
        send_to(address(name, "address"), {"PUT", "/_faults", text});
    }

    golden_session session;
};

void call_reads(golden_fleet& fleet)
{
    fleet.call("search", {"GET", "/finder/belts?q=v12"});
    fleet.call("search without a result body", {"HEAD", "/finder/belts?q=v12"});
    fleet.call("download", {"GET", "/manuals/v12?bytes=100000"});
    fleet.call("nested call", {"GET", "/finder/belts?q=v12&call=/manuals/v12"});
}

void call_refused(golden_fleet& fleet)
{
    fleet.call("no route", {"GET", "/unknown"});
    fleet.call("dot segment", {"GET", "/finder/%2e%2e/orders"});
    fleet.call("too deep", {"GET", "/finder/a", "", {{"X-Call-Depth", "9"}}});
    fleet.call("bad time limit", {"GET", "/finder/a", "", {{"X-Request-Timeout-Ms", "soon"}}});
    fleet.call("too large", {"PUT", "/finder/a", std::string(2U << 20U, 'x')});
    fleet.call("key required", {"POST", "/returns/1", "belt"});
}

void call_orders(golden_fleet& fleet)
{
    const test_request keyed{"POST", "/orders/1", "belt", {{"Idempotency-Key", "shop-1"}}};
    fleet.call("order with a caller's key", keyed);
    fleet.call("the same order again", keyed);
    auto changed = keyed;
    changed.body = "two belts";
    fleet.call("another order with the key", changed);
    const auto made = fleet.call("issue a key", {"POST", "/v1/idempotency-keys"}).json();
    REQUIRE(made.contains("key"));
    const std::string key = made["key"];
    const test_request issued{"POST", "/orders/2", "belt", {{"Idempotency-Key", key}}};
    fleet.call("order with an issued key", issued);
    fleet.call("the same order again", issued);
    fleet.call("order without a key", {"POST", "/orders/3", "belt"});
}

void call_with_faults(golden_fleet& fleet)
{
    fleet.set_fault("table", R"({"unavailable": true})");
    fleet.call("table service unavailable",
               {"POST", "/orders/4", "belt", {{"Idempotency-Key", "shop-4"}}});
    fleet.set_fault("table", R"({"unavailable": false})");
    fleet.set_fault("finder-1", R"({"extra_latency_ms": 1500})");
    fleet.call("slow backend server",
               {"GET", "/finder/a?q=late", "", {{"X-Request-Timeout-Ms", "300"}}});
    fleet.set_fault("orders-1", R"({"silent": true})");
    const test_request keyed{"POST",
                             "/orders/5",
                             "belt",
                             {{"Idempotency-Key", "shop-5"}, {"X-Request-Timeout-Ms", "300"}}};
    fleet.call("silent backend server", keyed);
    fleet.call("the same order again", keyed);
}

std::string read_file(const std::string& path)
{
    std::ifstream stream(path);
    return {std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
}

} // namespace

TEST_CASE("golden_session: a fixed session gives the committed responses", "[golden]")
{
    // Guards against unintended changes of what callers see: statuses, headers and bodies. After an
    // intended change, run with GALENAROAD_WRITE_GOLDEN=1 and review the difference.
    golden_fleet fleet;
    call_reads(fleet);
    call_refused(fleet);
    call_orders(fleet);
    call_with_faults(fleet);
    const std::string path = std::string(GALENAROAD_SOURCE_DIR) + "/src/tests/golden/session.txt";
    if (std::getenv("GALENAROAD_WRITE_GOLDEN") != nullptr) {
        std::ofstream(path) << fleet.session.text();
    }
    CHECK(fleet.session.text() == read_file(path));
}

TEST_CASE("golden_session: ids and issued keys are normalised and nothing else", "[golden]")
{
    // Guards against a normalisation that hides a difference, or leaves one that each run has.
    CHECK(golden_session::normalised(R"({"request_id":"ab-1.2","kind":"leaving"})") ==
          R"({"request_id":"<id>","kind":"leaving"})");
    CHECK(golden_session::normalised("X-Request-Id: 0f") == "X-Request-Id: <id>");
    CHECK(golden_session::normalised(R"({"key":"gr1.127.0.0.1:9.5.6.ab"})") ==
          R"({"key":"<issued key>"})");
    CHECK(golden_session::normalised("Retry-After: 1") == "Retry-After: 1");
}
