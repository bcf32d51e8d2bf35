#include "tests/support/action_fleet.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <set>

using namespace galenaroad;

namespace {

constexpr std::uint64_t seeds_per_case = 11;

action_fleet_faults all_faults()
{
    action_fleet_faults faults;
    faults.store = {0.05, 0.1, 0.1};
    faults.daemon_crash = 0.01;
    faults.owner_crash = 0.01;
    faults.pause = 0.05;
    faults.lost_dispatch = 0.1;
    faults.late_dispatch = 0.1;
    faults.lost_answer = 0.1;
    faults.wrong_liveness = 0.1;
    faults.reused_key = 0.05;
    return faults;
}

rc::Gen<std::uint64_t> any_seed()
{
    return rc::gen::noShrink(
        rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>()));
}

rc::Gen<double> any_share(int percent)
{
    return rc::gen::map(rc::gen::inRange(0, percent), [](int share) { return share / 100.0; });
}

action_fleet_faults any_faults()
{
    action_fleet_faults faults;
    faults.store = {*any_share(30), *any_share(40), *any_share(40)};
    faults.daemon_crash = *any_share(4);
    faults.owner_crash = *any_share(4);
    faults.pause = *any_share(20);
    faults.lost_dispatch = *any_share(30);
    faults.late_dispatch = *any_share(30);
    faults.lost_answer = *any_share(30);
    faults.wrong_liveness = *any_share(20);
    faults.reused_key = *any_share(10);
    return faults;
}

std::set<action_rule> broken_rules(const action_fleet_faults& faults, int seeds)
{
    std::set<action_rule> rules;
    for (int seed = 1; seed <= seeds; ++seed) {
        action_fleet fleet(static_cast<std::uint64_t>(seed), faults);
        fleet.run();
        for (const auto& violation : fleet.history().violations()) {
            rules.insert(violation.rule);
        }
    }
    return rules;
}

} // namespace

TEST_CASE("action_fleet: an action starts at most once under random faults", "[action]")
{
    // Guards against duplicate starts, false `not_run` results, responses of other requests, and
    // keys that stay blocked, under combined faults and any order of steps. 100 cases of 11 seeds
    // each.
    std::size_t starts = 0;
    std::size_t not_run = 0;
    std::size_t unknown = 0;
    const bool passed = rc::check("at most one start", [&] {
        const auto seed = *any_seed();
        const auto faults = any_faults();
        for (std::uint64_t i = 0; i < seeds_per_case; ++i) {
            action_fleet fleet(seed + i, faults);
            fleet.run();
            for (const auto& violation : fleet.history().violations()) {
                RC_FAIL(action_rule_name(violation.rule) + " " + violation.key + " " +
                        violation.request + ", seed " + std::to_string(seed + i));
            }
            RC_ASSERT(fleet.blocked() == std::vector<std::string>());
            starts += fleet.history().starts();
            not_run += fleet.history().answers(run_state::not_run);
            unknown += fleet.history().answers(run_state::unknown);
        }
    });
    CHECK(passed);
    INFO("starts " << starts << ", not run " << not_run << ", unknown " << unknown);
    // Checks that the faults leave enough of the events that the rules are about.
    CHECK(starts > 1000);
    CHECK(not_run > 1000);
    CHECK(unknown > 1000);
}

TEST_CASE("action_fleet: runs with the same seed are equal", "[action]")
{
    // Guards against a printed seed that does not reproduce the failure.
    action_fleet first(7, all_faults());
    action_fleet second(7, all_faults());
    first.run();
    second.run();
    CHECK(first.history().starts() == second.history().starts());
    for (const auto run : {run_state::not_run, run_state::completed, run_state::unknown}) {
        CHECK(first.history().answers(run) == second.history().answers(run));
    }
}

TEST_CASE("action_history_checker: a second claim of a claimed key is detected", "[action]")
{
    // Guards against a checker that accepts every history: claimed rows are read as released.
    auto faults = all_faults();
    faults.read_claimed_as_released = true;
    CHECK(broken_rules(faults, 20).count(action_rule::one_start) == 1);
}

TEST_CASE("action_history_checker: a refusal after the start is detected", "[action]")
{
    // Guards against a checker that misses a false `not_run`: owners refuse actions they have
    // started.
    action_fleet_faults faults;
    faults.refuse_after_start = true;
    CHECK(broken_rules(faults, 20).count(action_rule::true_not_run) == 1);
}

TEST_CASE("action_history_checker: responses of other requests are detected", "[action]")
{
    // Guards against a checker that accepts any response of a completed action.
    action_history_checker checker;
    checker.started({"tetteh", "k", "r1", "d"});
    checker.responded("tetteh", "k", "belt");
    checker.answered({"tetteh", "k", "r2", "d", run_state::completed, "belt"});
    CHECK(checker.violations().empty());
    checker.answered({"tetteh", "k", "r3", "d", run_state::completed, "hose"});
    checker.answered({"tetteh", "k", "r4", "other", run_state::completed, "belt"});
    checker.answered({"cista-pipa", "k", "r5", "d", run_state::completed, "belt"});
    const auto violations = checker.violations();
    REQUIRE(violations.size() == 3);
    CHECK(violations[0].rule == action_rule::own_response);
    CHECK(violations[1].rule == action_rule::bound_to_digest);
    CHECK(violations[2].rule == action_rule::started_first);
}
