#include "base/manual_clock.h"
#include "relay/attempt_registry.h"

#include <catch2/catch.hpp>

using namespace galenaroad;
using namespace std::chrono_literals;

TEST_CASE("attempt_registry: a fenced attempt never starts, a started one is never not run",
          "[action]")
{
    // Guards against the result "not run" for a running attempt, and against a late start.
    manual_clock time;
    attempt_registry attempts(8);
    const auto now = [&] { return time.steady_now(); };
    CHECK(attempts.fence("a", now()).state == attempt_state::not_run);
    CHECK(attempts.start("a", now() + 1s, now()) == start_decision::fenced);
    CHECK(attempts.start("b", now() + 1s, now()) == start_decision::started);
    CHECK(attempts.start("b", now() + 1s, now()) == start_decision::duplicate);
    CHECK(attempts.fence("b", now()).state == attempt_state::running);
    attempts.finish("b", 201);
    CHECK(attempts.fence("b", now()).state == attempt_state::finished);
    CHECK(attempts.fence("b", now()).status == 201);
    CHECK(attempts.start("c", now(), now()) == start_decision::expired);
    time.advance(60min);
    CHECK(attempts.start("a", now() + 1s, now()) == start_decision::fenced);
}

TEST_CASE("attempt_registry: gives no promise that it cannot keep", "[action]")
{
    // Guards against unbounded memory use, and against a promise that is forgotten at once.
    manual_clock time;
    attempt_registry attempts(2);
    const auto deadline = time.steady_now() + 1s;
    CHECK(attempts.start("a", deadline, time.steady_now()) == start_decision::started);
    CHECK(attempts.start("b", deadline, time.steady_now()) == start_decision::started);
    CHECK(attempts.start("c", deadline, time.steady_now()) == start_decision::table_full);
    CHECK(attempts.fence("d", time.steady_now()).state == attempt_state::unknown);
    time.advance(62s);
    CHECK(attempts.start("e", time.steady_now() + 1s, time.steady_now()) ==
          start_decision::started);
    CHECK(attempts.size() == 1);
}
