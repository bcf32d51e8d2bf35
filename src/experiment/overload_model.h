#pragma once

#include "admission/call_context.h"
#include "admission/retry_budget.h"
#include "admission/slot_queue.h"
#include "base/random_engine.h"
#include "experiment/simulated_loop.h"
#include "routing/upstream_selector.h"

#include <array>
#include <chrono>
#include <deque>
#include <map>
#include <vector>

namespace galenaroad {

/// Policy under test in the overload experiment.
enum class overload_policy {
    product,         ///< slot_queue, retry_budget and retry_policy.
    unbounded_queue, ///< First-in first-out queue without a bound and three attempts per call.
};

/// Parameters of one run.
struct overload_parameters {
    overload_policy policy = overload_policy::product;
    double load = 1.0; ///< Offered load as a multiple of the services' capacity.
    int slots = 3;
    int upstreams = 12;
    double nested_share = 0.5;  ///< Share of calls that call the other service.
    double failing_share = 0.0; ///< Share of calls that fail after they ran.
    std::chrono::milliseconds service_time{25};
    std::chrono::milliseconds timeout{2000};
    std::chrono::seconds duration{30};
    std::uint64_t seed = 1;
};

/// Counts of one run.
struct overload_result {
    long requests = 0;                        ///< Requests from callers.
    long completed = 0;                       ///< Answered within the deadline.
    long refused = 0;                         ///< Answered with an error before the deadline.
    long late = 0;                            ///< Not answered at the deadline.
    long calls = 0;                           ///< Requests and nested calls.
    long attempts = 0;                        ///< Attempts that reached an owner.
    std::chrono::nanoseconds refusal_time{0}; ///< Sum over refused requests.

    /// @return attempts per call.
    double amplification() const;
    /// @return the share of requests that completed.
    double goodput() const;
    /// @return the mean time until a refusal.
    std::chrono::milliseconds mean_refusal_time() const;
};

/// Event-driven model of two services that call each other, over the admission classes.
///
/// Replaces backend servers and callers by timed events, so that one run takes milliseconds.
class overload_model {
public:
    /// @param parameters the run's parameters.
    explicit overload_model(const overload_parameters& parameters);

    /// Runs the model to its end.
    /// @return the counts.
    overload_result run();

private:
    static constexpr int service_count = 2;
    static constexpr long no_parent = -1;

    struct call {
        int service = 0;
        long parent = no_parent;
        call_context context;
        steady_time arrived;
        steady_time admitted;
        int attempts = 0;
        int upstream = 0;
        std::uint64_t ticket = 0;
        bool done = false;
        std::vector<upstream_id> tried;
    };
    struct server {
        explicit server(int slots) : queue(slots) {}
        slot_queue queue;
        std::deque<long> backlog; ///< Used by the unbounded queue only.
        int running = 0;          ///< Used by the unbounded queue only.
    };
    void schedule_arrival();
    long start_call(int service, long parent);
    void attempt(long id);
    void offer(long id);
    void offer_unbounded(long id);
    void begin(long id);
    void call_nested_or_finish(long id);
    void finish(long id, bool succeeded);
    void release_slot(long id);
    void fail_attempt(long id, error_kind kind, run_state run);
    void answer(long id, bool succeeded);
    void check_deadline(long id);
    steady_time::duration random_time(std::chrono::duration<double> mean);
    bool chance(double share);

    overload_parameters m_parameters;
    random_engine m_random;
    simulated_loop m_loop;
    steady_time m_end;
    std::uint64_t m_next_ticket = 1;
    std::array<service_candidates, service_count> m_candidates;
    std::array<std::vector<server>, service_count> m_servers;
    std::array<retry_budget, service_count> m_budgets;
    std::deque<call> m_calls;
    std::map<std::uint64_t, long> m_tickets;
    overload_result m_result;
};

} // namespace galenaroad
