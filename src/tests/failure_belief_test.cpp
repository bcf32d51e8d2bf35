#include "base/manual_clock.h"
#include "relay/failure_belief.h"
#include "relay/owned_upstream.h"

#include <catch2/catch.hpp>

using namespace galenaroad;
using namespace std::chrono_literals;

TEST_CASE("failure_belief: one failure is enough, and is forgotten within seconds", "[relay]")
{
    // Guards against work that goes on to an upstream that fails most requests for seconds, and
    // against a sound upstream that stays avoided after it has recovered.
    manual_clock time;
    time.advance(1h);
    failure_belief belief;
    belief.note_success(time.steady_now());
    CHECK(belief.failing(time.steady_now()) < 0.1);
    time.advance(300ms);
    belief.note_failure(time.steady_now());
    CHECK(belief.failing(time.steady_now()) > 0.7);
    time.advance(6s);
    CHECK(belief.failing(time.steady_now()) < 0.4);
}

TEST_CASE("failure_belief: occasional failures of a sound upstream do not add up", "[relay]")
{
    // Guards against false ejections: one request in fifty fails on a sound upstream.
    manual_clock time;
    time.advance(1h);
    failure_belief belief;
    for (int request = 1; request <= 500; ++request) {
        time.advance(200ms);
        if (request % 50 == 0) {
            belief.note_failure(time.steady_now());
        }
        else {
            belief.note_success(time.steady_now());
        }
    }
    CHECK(belief.failing(time.steady_now()) < 0.9);
    time.advance(200ms);
    belief.note_success(time.steady_now());
    time.advance(200ms);
    belief.note_success(time.steady_now());
    CHECK(belief.failing(time.steady_now()) < 0.2);
}

TEST_CASE("failure_belief: tells what it will be after an outcome", "[relay]")
{
    // Guards against owners that look worse to their callers after a success than unknown ones.
    manual_clock time;
    time.advance(1h);
    failure_belief belief;
    const auto now = time.steady_now();
    const double if_success = belief.failing_after_success(now);
    const double if_failure = belief.failing_after_failure(now);
    CHECK(if_success < belief.failing(now));
    CHECK(if_failure > belief.failing(now));
    auto other = belief;
    belief.note_success(now);
    other.note_failure(now);
    CHECK(belief.failing(now) == Approx(if_success));
    CHECK(other.failing(now) == Approx(if_failure));
}
