#include "health/ejection_ledger.h"

#include "floor_history.h"
#include "health/ejection_view.h"
#include "platform/memory_table_service.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <rapidcheck/catch.h>

using namespace galenaroad;
using namespace galenaroad::floor_test;
using namespace std::chrono_literals;

namespace {

std::vector<step> random_steps(unsigned seed)
{
    std::mt19937 random(seed);
    std::vector<step> steps;
    for (int count = 0; count < 300; ++count) {
        const auto draw = [&] { return static_cast<int>(random() % 1000); };
        steps.emplace_back(draw(), draw(), draw(), draw());
    }
    return steps;
}

service_capacity four_upstreams(int floor_slots)
{
    service_capacity capacity{{"cista-pipa", "orders"}, floor_slots, {}};
    for (const char* name : {"a", "b", "c", "d"}) {
        capacity.members.push_back({{name, "orders"}, 1, 3});
    }
    return capacity;
}

} // namespace

TEST_CASE("ejection_ledger: the capacity floor is kept in random histories", "[health]")
{
    // Guards against a service below its capacity floor because of concurrent evaluators, lost
    // responses, outages of the store, delayed views and crashes.
    rc::prop("no grant and no view breaks the floor", [] {
        const int slots = *rc::gen::element(3, 7);
        const int kept = *rc::gen::inRange(6, 12);
        const auto steps =
            *rc::gen::resize(400, rc::gen::container<std::vector<step>>(rc::gen::tuple(
                                      rc::gen::inRange(0, step_kinds), rc::gen::inRange(0, 100),
                                      rc::gen::inRange(0, 100), rc::gen::inRange(0, 1000))));
        floor_history history(slots, kept * slots);
        for (const step& next : steps) {
            history.run(next);
            RC_ASSERT(history.breach() == "");
        }
        RC_CLASSIFY(history.grants() > 0, "with grants");
    });
}

TEST_CASE("ejection_ledger: the capacity floor is kept in 1000 seeded histories", "[health]")
{
    // Guards against faults that need long histories, which the generator above rarely produces.
    // Each history has 300 steps.
    int grants = 0;
    for (unsigned seed = 1; seed <= 1000; ++seed) {
        floor_history history(seed % 2 == 0 ? 3 : 7, (seed % 2 == 0 ? 3 : 7) * 8);
        for (const step& next : random_steps(seed)) {
            history.run(next);
        }
        INFO("seed " << seed << ": " << history.breach());
        REQUIRE(history.breach().empty());
        grants += history.grants();
    }
    CHECK(grants > 10'000);
}

TEST_CASE("ejection_ledger: the checker detects writes without compare-and-set", "[health]")
{
    // Guards against a checker that accepts every history.
    int caught = 0;
    for (unsigned seed = 1; seed <= 50; ++seed) {
        floor_history history(3, 24);
        history.inject_fault();
        for (const step& next : random_steps(seed)) {
            history.run(next);
        }
        caught += history.breach().empty() ? 0 : 1;
    }
    CHECK(caught > 25);
}

TEST_CASE("ejection_ledger: a write with a lost response is recognised by reading the row",
          "[health]")
{
    // Guards against a second ejection, and against losing an ejection that was applied.
    manual_clock time;
    racing_store store;
    store.on_effect = [](const std::string&) {};
    ejection_ledger ledger(store, time, "a.1");
    store.loses_next_response = true;
    const auto row = ledger.propose(four_upstreams(9), {"a", "orders"}, "slow");
    REQUIRE(row);
    CHECK(ledger.writes() == 1);
    REQUIRE(row->row.entries.size() == 1);
    CHECK(row->row.entries.front().remaining == ejection_row::validity);
    CHECK(ledger.propose(four_upstreams(9), {"b", "orders"}, "slow").error() ==
          make_error_code(error_kind::floor_would_be_breached));
}

TEST_CASE("ejection_ledger: an expired entry counts during its grace period", "[health]")
{
    // Guards against a second ejection while other daemons still apply the first.
    manual_clock time;
    racing_store store;
    store.on_effect = [](const std::string&) {};
    ejection_ledger ledger(store, time, "a.1");
    REQUIRE(ledger.propose(four_upstreams(9), {"a", "orders"}, "slow"));
    time.advance(ejection_row::validity + ejection_row::grace_period - 1ms);
    CHECK_FALSE(ledger.propose(four_upstreams(9), {"b", "orders"}, "slow"));
    time.advance(1ms);
    CHECK(ledger.propose(four_upstreams(9), {"b", "orders"}, "slow"));
}

TEST_CASE("ejection_ledger: nothing is ejected while the store is unavailable", "[health]")
{
    // Guards against ejections based on the last known row, which concurrent evaluators do not see.
    manual_clock time;
    racing_store store;
    store.on_effect = [](const std::string&) {};
    ejection_ledger ledger(store, time, "a.1");
    REQUIRE(ledger.propose(four_upstreams(6), {"a", "orders"}, "slow"));
    store.is_unavailable = true;
    CHECK(ledger.propose(four_upstreams(6), {"b", "orders"}, "slow").error() ==
          make_error_code(error_kind::store_unavailable));
}

TEST_CASE("ejection_ledger: another writer's row keeps a drain in force", "[health]")
{
    // Guards against requests to a drained upstream from daemons that receive the row of a later
    // writer before the row of the drain.
    memory_table_service table;
    manual_clock clock;
    ejection_ledger operator_side(table, clock, "operator");
    ejection_ledger evaluator(table, clock, "evaluator");
    const auto capacity = four_upstreams(6);
    REQUIRE(operator_side.drain(capacity, {"a", "orders"}, "test"));
    clock.advance(1s);
    const auto later = evaluator.propose(capacity, {"b", "orders"}, "test");
    REQUIRE(later);
    ejection_view view;
    view.receive(*later, clock.steady_now());
    CHECK(view.eligibilities(capacity, clock.steady_now()).at({"a", "orders"}) ==
          upstream_eligibility::excluded);
}
