#include "experiment/fleet_history_checker.h"
#include "tests/support/faulty_fleet.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <iostream>

using namespace galenaroad;

namespace {

using fault = process_fault;

constexpr unsigned default_seed = 20261204;

/// GALENAROAD_HISTORY_SEED explores other seeds.
unsigned chosen_seed()
{
    const char* const text = std::getenv("GALENAROAD_HISTORY_SEED");
    return text == nullptr ? default_seed : static_cast<unsigned>(std::stoul(text));
}

std::ptrdiff_t successes(const fleet_history& history, call_kind kind)
{
    return std::count_if(history.calls.begin(), history.calls.end(), [&](const auto& call) {
        return call.kind == kind && call.status >= 200 && call.status < 300;
    });
}

void check_history(const std::vector<fault>& faults)
{
    const auto seed = chosen_seed();
    faulty_fleet fleet({seed, faults});
    const auto& history = fleet.run();
    std::cout << "seed " << seed << ": " << history.calls.size() << " calls, "
              << successes(history, call_kind::search) << " searches, "
              << successes(history, call_kind::download) << " downloads, "
              << successes(history, call_kind::order) << " orders answered, " << history.runs.size()
              << " runs, " << history.versions.size() << " versions seen, "
              << history.accepts.size() << " accepted\n";
    const auto report = fleet_history_checker(history).report();
    INFO("seed " << seed << '\n' << report << fleet.ended_daemons());
    CHECK(report.empty());
    // Without work the rules hold trivially.
    CHECK(successes(history, call_kind::search) > 10);
    CHECK(successes(history, call_kind::download) > 10);
    CHECK(successes(history, call_kind::order) > 10);
    CHECK(history.versions.size() > 50);
}

} // namespace

TEST_CASE("fleet_history: faults planted into a recorded history are found", "[history]")
{
    // Guards against records that lack what a rule needs, so that the rule can never fail.
    faulty_fleet fleet({chosen_seed(), {fault::server_leaving}});
    auto history = fleet.run();
    REQUIRE(fleet_history_checker(history).violations().empty());
    const auto planted = [&](fleet_rule rule, const auto& change) {
        auto changed = history;
        change(changed);
        return fleet_history_checker(changed).broken_rules().count(rule) == 1;
    };
    const auto any_call = [](fleet_history& changed, call_kind kind) -> call_event& {
        return *std::find_if(changed.calls.begin(), changed.calls.end(), [&](const auto& call) {
            return call.kind == kind && call.status / 100 == 2;
        });
    };
    CHECK(planted(fleet_rule::one_run, [](auto& all) { all.runs.push_back(all.runs.front()); }));
    CHECK(planted(fleet_rule::true_not_run, [](auto& all) {
        // The answer to a request that ran becomes a refusal.
        for (auto& call : all.calls) {
            call.run = call.request_id == all.runs.front().request_id ? "not_run" : call.run;
        }
    }));
    CHECK(planted(fleet_rule::whole_download,
                  [&](auto& all) { --any_call(all, call_kind::download).body; }));
    CHECK(planted(fleet_rule::own_response,
                  [&](auto& all) { any_call(all, call_kind::search).received += "x"; }));
    CHECK(planted(fleet_rule::in_time, [&](auto& all) {
        any_call(all, call_kind::search).ended += history_time(9000);
    }));
    CHECK(planted(fleet_rule::version_order, [](auto& all) { all.versions.back().version = 0; }));
    CHECK(
        planted(fleet_rule::version_in_force, [](auto& all) { all.accepts.back().version += 1; }));
    CHECK(planted(fleet_rule::leaving_is_quiet,
                  [](auto& all) { all.leaves.front().server = "finder-1"; }));
}

// Each case guards against broken invariants of section 1.2 of the design page under its faults:
// duplicated or falsely refused actions, incomplete, foreign, late or absent responses, reverted
// or late configuration, work for a leaving server, requests that a planned stop cuts.

TEST_CASE("fleet_history: no fault", "[history]")
{
    check_history({});
}

TEST_CASE("fleet_history: a killed daemon", "[history]")
{
    check_history({fault::daemon_killed});
}

TEST_CASE("fleet_history: a frozen daemon", "[history]")
{
    check_history({fault::daemon_frozen});
}

TEST_CASE("fleet_history: a killed backend server", "[history]")
{
    check_history({fault::server_killed});
}

TEST_CASE("fleet_history: a planned stop of a daemon", "[history]")
{
    check_history({fault::daemon_stopped});
}

TEST_CASE("fleet_history: a backend server that leaves", "[history]")
{
    check_history({fault::server_leaving});
}

TEST_CASE("fleet_history: a silent backend server", "[history]")
{
    check_history({fault::server_silent});
}

TEST_CASE("fleet_history: a slow backend server", "[history]")
{
    check_history({fault::server_slow});
}

TEST_CASE("fleet_history: a failing backend server", "[history]")
{
    check_history({fault::server_failing});
}

TEST_CASE("fleet_history: a backend server that truncates", "[history]")
{
    check_history({fault::server_truncating});
}

TEST_CASE("fleet_history: table service unavailable", "[history]")
{
    check_history({fault::store_unavailable});
}

TEST_CASE("fleet_history: table service slow", "[history]")
{
    check_history({fault::store_slow});
}

TEST_CASE("fleet_history: table service that loses responses", "[history]")
{
    check_history({fault::store_losing_responses});
}

TEST_CASE("fleet_history: killed daemon and silent server", "[history]")
{
    check_history({fault::daemon_killed, fault::server_silent});
}

TEST_CASE("fleet_history: frozen daemon and table service that loses responses", "[history]")
{
    check_history({fault::daemon_frozen, fault::store_losing_responses});
}

TEST_CASE("fleet_history: killed server and slow table service", "[history]")
{
    check_history({fault::server_killed, fault::store_slow});
}

TEST_CASE("fleet_history: truncating server and failing server", "[history]")
{
    check_history({fault::server_truncating, fault::server_failing});
}
