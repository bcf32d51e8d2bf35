#include "routing/route_table.h"

#include <catch2/catch.hpp>

using namespace galenaroad;

namespace {

std::shared_ptr<const contract> tetteh()
{
    auto declared = std::make_shared<contract>();
    declared->business = "tetteh";
    declared->hosts = {"shop.tetteh.example"};
    route search{"/belts", {"GET"}, "finder"};
    route order{"/belts/orders", {"POST"}, "orders", request_class::action, true};
    route manuals{"/manuals/", {}, "manuals", request_class::transfer};
    declared->routes = {search, order, manuals};
    return declared;
}

} // namespace

TEST_CASE("route_table: the longest prefix of whole segments matches", "[routing]")
{
    // Guards against routing by a shorter prefix, or by a prefix that ends within a path segment.
    const route_table table({tetteh()});
    const std::string host = "shop.tetteh.example";
    CHECK(table.match(host, "GET", "/belts/17").declared->service == "finder");
    CHECK(table.match(host, "POST", "/belts/orders").declared->service == "orders");
    CHECK(table.match(host, "GET", "/belts/orders").declared->service == "finder");
    CHECK(table.match(host, "GET", "/manuals/a/b").declared->service == "manuals");
    CHECK_FALSE(table.match(host, "GET", "/beltsandmore"));
    CHECK_FALSE(table.match("other.example", "GET", "/belts"));
}
