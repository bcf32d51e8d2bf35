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

/// Feeds a detector with attempts of 12 upstreams, as their own daemons would see them.
class traffic {
public:
    explicit traffic(detection_policy policy) : m_detector(settings_for(policy))
    {
        for (int number = 0; number < upstream_count; ++number) {
            m_detector.assume_warm(upstream_number(number));
        }
    }

    /// Runs for a time; every upstream ends an attempt about every 20 ms.
    /// @return the time until an upstream was sick, or the whole time.
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

TEST_CASE("outlier_detector: a slow upstream is sick within a second", "[health]")
{
    // Guards against a test that needs more samples than a server with few slots delivers.
    traffic flow(detection_policy::fast);
    REQUIRE(flow.run(10s) == 10s);
    flow.slowdown_of_first = 4;
    CHECK(flow.run(5s) < 1s);
    CHECK(flow.state_of(0) == health_state::unhealthy);
}

TEST_CASE("outlier_detector: a share of failures is found by both policies", "[health]")
{
    // Guards against judging by consecutive errors, which a failing share rarely shows.
    const auto policy = GENERATE(detection_policy::fast, detection_policy::careful);
    traffic flow(policy);
    REQUIRE(flow.run(10s) == 10s);
    flow.failures_of_first = 0.3;
    CHECK(flow.run(10s) < 5s);
    CHECK(flow.state_of(0) == health_state::unhealthy);
}

TEST_CASE("outlier_detector: nobody is sick when the whole service gets slow", "[health]")
{
    // Guards against a reference that lags behind: every upstream would look slow against it.
    const auto policy = GENERATE(detection_policy::fast, detection_policy::careful);
    traffic flow(policy);
    REQUIRE(flow.run(10s) == 10s);
    flow.slowdown_of_all = 6;
    CHECK(flow.run(20s) == 20s);
}

TEST_CASE("outlier_detector: shed responses are no evidence", "[health]")
{
    // Guards against ejecting an overloaded upstream, which would overload the rest.
    traffic flow(detection_policy::fast);
    flow.shed_of_first = 0.8;
    CHECK(flow.run(20s) == 20s);
}

TEST_CASE("outlier_detector: heavy tails are normal", "[health]")
{
    // Guards against a few long requests outweighing many usual ones.
    traffic flow(detection_policy::careful);
    flow.long_attempts = 0.03;
    CHECK(flow.run(600s) == 600s);
}

TEST_CASE("outlier_detector: a cold start is no evidence", "[health]")
{
    // Guards against ejecting servers that warm their caches after a restart.
    traffic flow(detection_policy::fast);
    REQUIRE(flow.run(10s) == 10s);
    flow.m_detector.on_announced(upstream_number(0), flow.m_clock.steady_now());
    flow.slowdown_of_first = 4;
    CHECK(flow.run(28s) == 28s);
    CHECK(flow.run(10s) < 4s);
}

TEST_CASE("outlier_detector: a stalled upstream shows by its open attempts", "[health]")
{
    // Guards against waiting for completions that never come: three slots, all of them stuck.
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
