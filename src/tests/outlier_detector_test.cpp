#include "health/outlier_detector.h"

#include "base/manual_clock.h"
#include "base/random_engine.h"

#include <catch2/catch.hpp>
#include <cmath>

using namespace galenaroad;
using namespace std::chrono_literals;

namespace {

constexpr int upstream_count = 12;

upstream_id upstream_number(int number)
{
    return {"i" + std::to_string(number), "orders"};
}

/// Passes attempts at 12 upstreams to a detector, as the owners would see them.
class traffic {
public:
    explicit traffic(detection_policy policy) : m_detector(settings_for(policy))
    {
        for (int number = 0; number < upstream_count; ++number) {
            m_detector.assume_warm(upstream_number(number));
        }
    }

    /// Runs for a time, in which each upstream completes an attempt every 20 ms.
    /// @return the time until an upstream was unhealthy, or the full time.
    std::chrono::milliseconds run(std::chrono::milliseconds length)
    {
        for (auto passed = 0ms; passed < length; passed += 20ms) {
            m_clock.advance(20ms);
            for (int number = first_is_stalled ? 1 : 0; number < upstream_count; ++number) {
                attempt(number);
            }
            if (passed % 100ms == 0ms && any_unhealthy()) {
                return passed;
            }
        }
        return length;
    }

    bool any_unhealthy()
    {
        m_verdicts = m_detector.evaluate(m_clock.steady_now());
        for (const auto& [id, verdict] : m_verdicts) {
            if (verdict.state == health_state::unhealthy) {
                return true;
            }
        }
        return false;
    }

    health_state state_of(int number) { return m_verdicts.at(upstream_number(number)).state; }

    double slowdown_of_first = 1;
    double slowdown_of_all = 1;
    double failures_of_first = 0;
    double shed_of_first = 0;
    bool first_is_stalled = false;
    double long_attempts = 0.01; ///< Share of attempts that take ten times longer.
    manual_clock m_clock;
    outlier_detector m_detector;

private:
    void attempt(int number)
    {
        std::lognormal_distribution<double> usual(std::log(35.0), 0.4);
        double time =
            usual(m_random) * slowdown_of_all * (m_share(m_random) < long_attempts ? 10 : 1);
        observation seen;
        if (number == 0) {
            time *= slowdown_of_first;
            const double drawn = m_share(m_random);
            seen.outcome = drawn < failures_of_first ? attempt_outcome::failure
                           : drawn < shed_of_first   ? attempt_outcome::shed
                                                     : attempt_outcome::success;
        }
        seen.service_time = std::chrono::duration_cast<std::chrono::nanoseconds>(
            std::chrono::duration<double, std::milli>(time));
        seen.started = m_clock.steady_now() - seen.service_time;
        m_detector.record(upstream_number(number), seen, m_clock.steady_now());
    }

    random_engine m_random{7};
    std::uniform_real_distribution<double> m_share{0, 1};
    std::map<upstream_id, health_verdict> m_verdicts;
};

} // namespace

TEST_CASE("outlier_detector: a slow upstream is unhealthy within a second", "[health]")
{
    // Guards against a test that needs more samples than a server with few slots produces.
    traffic flow(detection_policy::fast);
    REQUIRE(flow.run(10s) == 10s);
    flow.slowdown_of_first = 4;
    CHECK(flow.run(5s) < 1s);
    CHECK(flow.state_of(0) == health_state::unhealthy);
}

TEST_CASE("outlier_detector: both policies detect an increased failure ratio", "[health]")
{
    // Guards against detection by consecutive failures, which rarely occur at a failure ratio of
    // 0.3.
    const auto policy = GENERATE(detection_policy::fast, detection_policy::careful);
    traffic flow(policy);
    REQUIRE(flow.run(10s) == 10s);
    flow.failures_of_first = 0.3;
    CHECK(flow.run(10s) < 5s);
    CHECK(flow.state_of(0) == health_state::unhealthy);
}

TEST_CASE("outlier_detector: no upstream is unhealthy when the whole service is slow", "[health]")
{
    // Guards against an outdated reference, compared with which every upstream would be slow.
    const auto policy = GENERATE(detection_policy::fast, detection_policy::careful);
    traffic flow(policy);
    REQUIRE(flow.run(10s) == 10s);
    flow.slowdown_of_all = 6;
    CHECK(flow.run(20s) == 20s);
}

TEST_CASE("outlier_detector: shed attempts are not evidence", "[health]")
{
    // Guards against ejecting an overloaded upstream, which would overload the others.
    traffic flow(detection_policy::fast);
    flow.shed_of_first = 0.8;
    CHECK(flow.run(20s) == 20s);
}

TEST_CASE("outlier_detector: heavy tails of the service times are not evidence", "[health]")
{
    // Guards against a few long requests that outweigh many normal ones.
    traffic flow(detection_policy::careful);
    flow.long_attempts = 0.03;
    CHECK(flow.run(600s) == 600s);
}

TEST_CASE("outlier_detector: attempts during a cold start are not evidence", "[health]")
{
    // Guards against ejecting servers that fill their caches after a restart.
    traffic flow(detection_policy::fast);
    REQUIRE(flow.run(10s) == 10s);
    flow.m_detector.on_announced(upstream_number(0), flow.m_clock.steady_now());
    flow.slowdown_of_first = 4;
    CHECK(flow.run(28s) == 28s);
    CHECK(flow.run(10s) < 4s);
}

TEST_CASE("outlier_detector: a stalled upstream is detected by its open attempts", "[health]")
{
    // Guards against detection by completed attempts only: the attempts in all three slots never
    // end.
    traffic flow(detection_policy::careful);
    REQUIRE(flow.run(10s) == 10s);
    const steady_time stuck = flow.m_clock.steady_now();
    flow.m_detector.set_open_attempts(
        upstream_number(0),
        {{request_class::read, stuck}, {request_class::read, stuck}, {request_class::read, stuck}});
    flow.first_is_stalled = true;
    CHECK(flow.run(5s) <= 1500ms);
    CHECK(flow.state_of(0) == health_state::unhealthy);
}
