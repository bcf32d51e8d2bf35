#include "tests/test_fleet.h"

#include <catch2/catch.hpp>
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
