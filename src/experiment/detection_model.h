#pragma once

#include "admission/retry_budget.h"
#include "base/manual_clock.h"
#include "experiment/detection_daemon.h"
#include "experiment/detection_measures.h"
#include "experiment/detection_server.h"
#include "platform/memory_table_service.h"
#include "routing/upstream_selector.h"

#include <functional>
#include <memory>
#include <vector>

namespace galenaroad {

/// Event-driven run of one business: open-loop callers and fake servers around the decision code
/// of 12 daemons, on a fake clock. Small fakes at the interfaces, not a cluster.
class detection_model {
public:
    /// @param parameters the run's parameters.
    explicit detection_model(const detection_parameters& parameters);

    /// Runs to the end.
    /// @return what was measured.
    detection_result run();

private:
    static constexpr int services = detection_parameters::services;
    static constexpr int instances = detection_parameters::instances;

    struct event {
        std::chrono::nanoseconds at;
        std::uint64_t order;
        std::function<void()> action;
        bool operator>(const event& other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    void schedule(std::chrono::nanoseconds delay, std::function<void()> action);
    void build_candidates(int entry);
    void schedule_arrival(int entry, int service);
    void arrive(int entry, int service);
    void send(const std::shared_ptr<detection_request>& request);
    void deliver(const attempt_pointer& attempt);
    void dispatch(const attempt_pointer& attempt);
    void end_service(const attempt_pointer& attempt);
    void cancel(const attempt_pointer& attempt);
    void free_slot(const attempt_pointer& attempt, attempt_outcome outcome);
    void respond(const attempt_pointer& attempt, attempt_outcome outcome);
    void receive(const attempt_pointer& attempt, attempt_outcome outcome,
                 std::chrono::nanoseconds service_time, const owner_assessment& report, int in_use,
                 int queued);
    void time_out(const attempt_pointer& attempt);
    void try_again(const std::shared_ptr<detection_request>& request, bool did_not_run);
    void answer(const std::shared_ptr<detection_request>& request, bool succeeded);
    void control_tick();
    bool is_evaluator(int daemon, int service, const std::vector<service_capacity>& members) const;
    void update_candidates(int daemon);
    void report_open_attempts(int daemon);
    void spread(int sender, const std::vector<aged_row>& rows);
    void check(int daemon, const std::vector<std::vector<bool>>& live);
    std::vector<service_capacity> members_now(std::vector<std::vector<bool>>& live) const;
    void thaw(int service, int instance);

    const planned_fault* fault(fault_kind kind, int service, int instance) const;
    bool is_cut(int from, int to) const;
    bool is_frozen(int service, int instance) const;
    std::chrono::nanoseconds link_time(int from, int to) const;
    detection_server& server(int service, int instance);
    upstream_load& load_of(int entry, int service, int instance);
    double uniform() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

    detection_parameters m_parameters;
    random_engine m_random;
    std::vector<planned_fault> m_plan;
    detection_measures m_measures;
    manual_clock m_clock;
    std::chrono::nanoseconds m_elapsed{0};
    steady_time m_start;
    std::uint64_t m_order = 0;
    std::vector<event> m_events; ///< Heap, earliest first.
    memory_table_service m_store;
    std::vector<detection_server> m_servers;             ///< By service and instance.
    std::vector<service_candidates> m_candidates;        ///< By entry and service.
    std::vector<upstream_candidate> m_all;               ///< By entry, service and instance.
    std::vector<std::shared_ptr<upstream_load>> m_loads; ///< In the same order.
    std::vector<retry_budget> m_budgets;                 ///< By entry and service.
    std::vector<std::unique_ptr<detection_daemon>> m_daemons;
    std::vector<std::vector<attempt_pointer>> m_open; ///< By entry.
    upstream_selector m_selector;
};

} // namespace galenaroad
