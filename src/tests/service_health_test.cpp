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

/// Records attempts at six upstreams for a time. The service times of the first one are multiplied
/// by a factor.
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

TEST_CASE("service_health: callers apply the owner's hold", "[health]")
{
    // Guards against callers that rely on their own small share of the attempts only.
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

TEST_CASE("service_health: the probing phase starts without earlier evidence", "[health]")
{
    // Guards against a recovered upstream that is put on hold again because of earlier attempts.
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
