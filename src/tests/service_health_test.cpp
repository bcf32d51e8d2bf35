#include "health/service_health.h"

#include "base/manual_clock.h"

#include <catch2/catch.hpp>

using namespace galenaroad;
using namespace std::chrono_literals;

namespace {

upstream_id upstream_number(int number)
{
    return {"i" + std::to_string(number), "orders"};
}

/// Lets six upstreams work for a time; the first one takes longer by a factor.
void run(service_health& health, manual_clock& time, std::chrono::milliseconds length, int factor)
{
    for (auto passed = 0ms; passed < length; passed += 20ms) {
        time.advance(20ms);
        for (int number = 0; number < 6; ++number) {
            const auto taken = (25ms + 1ms * (passed / 20ms % 10)) * (number == 0 ? factor : 1);
            health.record(
                upstream_number(number),
                {request_class::read, attempt_outcome::success, time.steady_now() - taken, taken},
                time.steady_now());
        }
        if (passed % 100ms == 0ms) {
            health.evaluate(time.steady_now());
        }
    }
}

service_health warm_service()
{
    service_health health(settings_for(detection_policy::fast));
    for (int number = 0; number < 6; ++number) {
        health.assume_warm(upstream_number(number));
    }
    return health;
}

} // namespace

TEST_CASE("service_health: callers take over the owner's hold", "[health]")
{
    // Guards against callers that detect by their small share of the traffic only.
    manual_clock time;
    service_health health = warm_service();
    const upstream_id first = upstream_number(0);
    health.on_owner_assessment(first, {1.0, 10s}, time.steady_now());
    CHECK(health.preference(first, time.steady_now()) == hold_timer::held_preference);
    REQUIRE(health.ejection_candidates(time.steady_now()).size() == 1);
    health.on_owner_assessment(first, {0.3, 0s}, time.steady_now());
    time.advance(10s);
    CHECK(health.ejection_candidates(time.steady_now()).empty());
}

TEST_CASE("service_health: a trial is judged by its own traffic", "[health]")
{
    // Guards against a recovered upstream that is held again for what it did before the hold.
    manual_clock time;
    service_health health = warm_service();
    const upstream_id first = upstream_number(0);
    run(health, time, 5s, 1);
    REQUIRE(health.ejection_candidates(time.steady_now()).empty());
    run(health, time, 1s, 5);
    REQUIRE(health.ejection_candidates(time.steady_now()).size() == 1);
    CHECK(health.assessment_of(first, time.steady_now()).hold_remaining > 8s);
    run(health, time, 40s, 1);
    CHECK(health.preference(first, time.steady_now()) == 1.0);
    run(health, time, 1s, 5);
    CHECK(health.assessment_of(first, time.steady_now()).hold_remaining > 18s);
}
