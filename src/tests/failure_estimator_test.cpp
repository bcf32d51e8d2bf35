#include "base/manual_clock.h"
#include "load/failure_estimator.h"
#include "load/owned_upstream.h"

#include <catch2/catch.hpp>

using namespace galenaroad;
using namespace std::chrono_literals;

TEST_CASE("failure_estimator: one failure raises the estimate for some seconds only", "[relay]")
{
    // Guards against requests to an upstream that fails most of them for seconds, and against
    // avoiding an upstream that has recovered.
    manual_clock time;
    time.advance(1h);
    failure_estimator estimator;
    estimator.record_success(time.steady_now());
    CHECK(estimator.failure_probability(time.steady_now()) < 0.1);
    time.advance(300ms);
    estimator.record_failure(time.steady_now());
    CHECK(estimator.failure_probability(time.steady_now()) > 0.7);
    time.advance(6s);
    CHECK(estimator.failure_probability(time.steady_now()) < 0.4);
}

TEST_CASE("failure_estimator: occasional failures of a healthy upstream do not add up", "[relay]")
{
    // Guards against false ejections: one request in fifty fails on a healthy upstream.
    manual_clock time;
    time.advance(1h);
    failure_estimator estimator;
    for (int request = 1; request <= 500; ++request) {
        time.advance(200ms);
        if (request % 50 == 0) {
            estimator.record_failure(time.steady_now());
        }
        else {
            estimator.record_success(time.steady_now());
        }
    }
    CHECK(estimator.failure_probability(time.steady_now()) < 0.9);
    time.advance(200ms);
    estimator.record_success(time.steady_now());
    time.advance(200ms);
    estimator.record_success(time.steady_now());
    CHECK(estimator.failure_probability(time.steady_now()) < 0.2);
}

TEST_CASE("failure_estimator: predicts the estimate after an outcome", "[relay]")
{
    // Guards against owners that report worse health after a success than an owner without a
    // report.
    manual_clock time;
    time.advance(1h);
    failure_estimator estimator;
    const auto now = time.steady_now();
    const double after_success = estimator.failure_probability_after_success(now);
    const double after_failure = estimator.failure_probability_after_failure(now);
    CHECK(after_success < estimator.failure_probability(now));
    CHECK(after_failure > estimator.failure_probability(now));
    auto other = estimator;
    estimator.record_success(now);
    other.record_failure(now);
    CHECK(estimator.failure_probability(now) == Approx(after_success));
    CHECK(other.failure_probability(now) == Approx(after_failure));
}
