#include "settings/contract_loader.h"
#include "settings/contract_writer.h"

#include <catch2/catch.hpp>

using namespace galenaroad;

namespace {

const std::string valid = R"(business: tetteh
services:
  - {name: orders, floor_slots: 8, policy: fast}
  - {name: finder, floor_slots: 12, policy: fast}
routes:
  - {prefix: /orders, service: orders, methods: [POST], class: action, once: true}
  - {prefix: /finder, service: finder, methods: [GET]}
)";

std::string error_text(const std::string& text)
{
    const auto loaded = contract_loader::load_text("t.yaml", text);
    std::string lines;
    if (!loaded) {
        for (const auto& error : loaded.error()) {
            lines += to_text(error) + '\n';
        }
    }
    return lines;
}

} // namespace

TEST_CASE("contract_loader: the written form reads back the same", "[settings]")
{
    // Guards against a written declaration that lacks a member or has a different order.
    const auto loaded = contract_loader::load_text("t.yaml", valid);
    REQUIRE(loaded);
    const auto written = contract_writer::to_yaml(*loaded);
    const auto again = contract_loader::load_text("t.yaml", written);
    REQUIRE(again);
    CHECK(contract_writer::to_yaml(*again) == written);
    CHECK(again->services.at(0).name == "finder");
    CHECK(again->routes.at(1).once);
}

TEST_CASE("contract_loader: refuses a declaration that contradicts itself", "[settings]")
{
    // Guards against accepting a route to a service that does not exist, a negative floor, or
    // duplicate names or routes, any of which leaves requests without a defined target.
    CHECK(error_text(R"(business: tetteh
services:
  - {name: orders, floor_slots: -1}
  - {name: orders, floor_slots: 2, policy: fats}
routes:
  - {prefix: /o, service: order}
  - {prefix: /o, service: orders}
  - {prefix: x, service: orders, class: read, once: true}
)") == R"(t.yaml:3:33: "floor_slots" must be a whole number from 0 to 1000000, found "-1"
t.yaml:4:12: the service "orders" is declared twice
t.yaml:4:44: "policy" must be one of fast, careful, found "fats"; did you mean "fast"?
t.yaml:6:27: the service "order" is not declared; did you mean "orders"?
t.yaml:7:14: the prefix "/o" is declared twice for the same method
t.yaml:8:14: "prefix" must start with /, found "x"
t.yaml:8:53: "once" needs "class: action"
)");
}
