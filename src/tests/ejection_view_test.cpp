#include "health/ejection_view.h"

#include "base/manual_clock.h"
#include "health/evaluator_selection.h"

#include <catch2/catch.hpp>

using namespace galenaroad;
using namespace std::chrono_literals;

namespace {

service_capacity capacity_of(const std::vector<std::string>& names, int floor_slots)
{
    service_capacity capacity{{"tetteh", "orders"}, floor_slots, {}};
    for (const std::string& name : names) {
        capacity.members.push_back({{name, "orders"}, 1, 7});
    }
    return capacity;
}

aged_row row_with(const std::string& name, std::chrono::milliseconds remaining)
{
    aged_row row;
    row.row.service = {"tetteh", "orders"};
    row.row.sequence = 1;
    ejection_entry entry;
    entry.upstream = {name, "orders"};
    entry.incarnation = 1;
    entry.grant_id = "w#1";
    entry.remaining = remaining;
    row.row.entries.push_back(entry);
    return row;
}

} // namespace

TEST_CASE("ejection_view: a repeated message does not prolong an ejection", "[health]")
{
    // Guards against rows that circulate by gossip and keep an upstream excluded forever.
    manual_clock time;
    ejection_view view;
    const auto capacity = capacity_of({"a", "b", "c"}, 14);
    REQUIRE(view.receive(row_with("a", 30s), time.steady_now()));
    for (int hop = 0; hop < 10; ++hop) {
        time.advance(3s);
        CHECK_FALSE(view.receive(row_with("a", 30s), time.steady_now()));
    }
    CHECK(view.eligibilities(capacity, time.steady_now()).at({"a", "orders"}) ==
          upstream_eligibility::in_service);
}

TEST_CASE("ejection_view: crashes make an ejected upstream least preferred", "[health]")
{
    // Guards against applying an ejection while the service is below its capacity floor.
    manual_clock time;
    ejection_view view;
    view.receive(row_with("a", 30s), time.steady_now());
    const upstream_id ejected{"a", "orders"};
    CHECK(view.eligibilities(capacity_of({"a", "b", "c"}, 14), time.steady_now()).at(ejected) ==
          upstream_eligibility::excluded);
    CHECK(view.eligibilities(capacity_of({"a", "b"}, 14), time.steady_now()).at(ejected) ==
          upstream_eligibility::least_preferred);
}

TEST_CASE("ejection_view: messages from before a pause are refused", "[health]")
{
    // Guards against a resumed daemon that applies ejections that expired while the messages waited
    // in its socket.
    manual_clock time;
    ejection_view view;
    view.on_control_loop_run(time.steady_now());
    time.advance(60s);
    view.on_control_loop_run(time.steady_now());
    CHECK_FALSE(view.receive(row_with("a", 30s), time.steady_now()));
}

TEST_CASE("evaluator_of: a departure moves only the departed daemon's services", "[health]")
{
    // Guards against a selection in which each restart changes most evaluators.
    std::vector<std::string> owners{"a", "b", "c", "d", "e"};
    std::vector<std::string> rest{"a", "b", "c", "d"};
    for (int number = 0; number < 100; ++number) {
        const service_id service{"tetteh", std::to_string(number)};
        const auto before = evaluator_of(service, owners);
        if (before != "e") {
            CHECK(evaluator_of(service, rest) == before);
        }
    }
    CHECK_FALSE(evaluator_of({"tetteh", "orders"}, {}));
}
