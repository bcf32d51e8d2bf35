#include "load/split_selector.h"

#include <catch2/catch.hpp>
#include <map>

using namespace galenaroad;

TEST_CASE("split_selector: shares are exact over few requests and after a change", "[relay]")
{
    // Guards against shares that deviate from the weights when there are few requests.
    route_rule rule;
    rule.name = "r";
    rule.targets = {{"a", 90}, {"b", 10}};
    split_selector splits;
    std::map<std::string, int> chosen;
    for (int request = 0; request < 40; ++request) {
        ++chosen[splits.choose(rule)];
    }
    CHECK(chosen["a"] == 36);
    CHECK(chosen["b"] == 4);
    rule.targets = {{"a", 1}, {"c", 3}};
    chosen.clear();
    for (int request = 0; request < 40; ++request) {
        ++chosen[splits.choose(rule)];
    }
    CHECK(chosen["c"] == 30);
}
