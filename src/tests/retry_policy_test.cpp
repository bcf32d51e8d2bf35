#include "admission/retry_policy.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace galenaroad;
using namespace std::chrono_literals;

namespace {

const steady_time start(std::chrono::hours(24));

call_context fresh_context()
{
    call_context context;
    context.deadline = start + 2s;
    return context;
}

} // namespace

TEST_CASE("retry_policy: attempts stay within 1.1 times the requests in a full outage",
          "[admission]")
{
    // Guards against retries that multiply the load while all backend servers fail.
    rc::prop("amplification", [] {
        const int requests = *rc::gen::inRange(1, 5000);
        retry_budget budget;
        long attempts = 0;
        for (int count = 0; count < requests; ++count) {
            budget.record_request();
            auto context = fresh_context();
            failed_attempt failed{error_kind::upstream_failed, run_state::unknown, 1, true, true};
            ++attempts;
            while (retry_policy::may_retry(failed, context, budget, start)) {
                ++attempts;
                ++failed.attempts;
            }
        }
        RC_ASSERT(attempts * 10 <= requests * 11L);
    });
}

TEST_CASE("retry_policy: an action is retried only with proof that it did not run", "[admission]")
{
    // Guards against running an action twice after a lost response.
    retry_budget budget;
    for (int count = 0; count < 100; ++count) {
        budget.record_request();
    }
    auto context = fresh_context();
    failed_attempt action{error_kind::upstream_failed, run_state::unknown, 1, false, true};
    CHECK_FALSE(retry_policy::may_retry(action, context, budget, start));
    action.run = run_state::not_run;
    CHECK(retry_policy::may_retry(action, context, budget, start));
    action.response_started = true;
    CHECK_FALSE(retry_policy::may_retry(action, context, budget, start));
}

TEST_CASE("call_context: invalid headers and too deep calls are refused", "[admission]")
{
    // Guards against call loops between services and against malformed numbers that are accepted.
    const auto with = [](const std::string& name, const std::string& value) {
        return call_context::from_headers(
            [&](std::string_view asked) {
                return asked == name ? std::optional<std::string>(value) : std::nullopt;
            },
            2000ms, start);
    };
    CHECK(kind_of(with("X-Call-Depth", "9").error()) == error_kind::call_too_deep);
    CHECK(with("X-Call-Depth", "8").value().depth == 8);
    CHECK(kind_of(with("X-Request-Timeout-Ms", "12x").error()) == error_kind::invalid_request);
    CHECK(with("X-Request-Timeout-Ms", "500").value().remaining(start) == 500ms);
    CHECK(with("X-Request-Timeout-Ms", "90000").value().remaining(start) == 2000ms);
    CHECK(with("X-Retry-Budget", "0").value().retries_left == 0);
}
