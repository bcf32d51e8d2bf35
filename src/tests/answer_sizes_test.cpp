#include "relay/answer_sizes.h"

#include <catch2/catch.hpp>

using namespace galenaroad;

TEST_CASE("answer_sizes: averages by route, with a bound on the routes", "[relay]")
{
    // Guards against memory that grows with every route that was ever in a plan.
    answer_sizes sizes;
    route_rule rule;
    rule.name = "download";
    rule.kind = request_kind::download;
    CHECK(sizes.expected(rule) == 100'000);
    sizes.note(rule, 1000);
    CHECK(sizes.expected(rule) == 1000);
    sizes.note(rule, 2000);
    CHECK(sizes.expected(rule) == 1200);
    for (std::size_t route = 0; route < answer_sizes::max_routes; ++route) {
        route_rule other;
        other.name = std::to_string(route);
        sizes.note(other, 10);
    }
    CHECK(sizes.expected(rule) == 100'000);
}
