#pragma once

#include "base/random_engine.h"
#include "experiment/replay_floor.h"
#include "experiment/replay_result.h"
#include "experiment/replay_scenario.h"
#include "experiment/replay_server.h"
#include "experiment/simulated_loop.h"
#include "fleet/owner_directory.h"
#include "load/owned_upstream.h"
#include "load/owner_ranking.h"
#include "load/owner_search.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace galenaroad {

/// What an entry knows of an owner when it chooses among them.
enum class owner_knowledge {
    none,        ///< Nothing.
    told,        ///< What the owner told this entry with its answers.
    shared,      ///< What the owner told any entry of the same data centre.
    current,     ///< What the owner knows itself at that moment.
    clairvoyant, ///< Whether the upstream fails, which nobody can know.
};

/// How a replay decides; the product's way and what it is compared with.
struct replay_version {
    std::string name = "product";
    owner_policy policy;  ///< How owners judge their upstreams.
    bool explores = true; ///< Requests that can be sent again try owners that may have changed.
    bool may_wait = true; ///< Requests wait at owners; otherwise a full owner refuses them.
    owner_knowledge knowledge = owner_knowledge::shared;
};

/// Model of a fleet over the decisions of src/relay: backend servers with slots, noise and faults,
/// entries that know only what owners told them, and calls between services.
class relay_replay {
public:
    /// @param scenario load and faults; must outlive the replay.
    /// @param version how it decides.
    /// @param seed seed of all random choices.
    relay_replay(const replay_scenario& scenario, replay_version version, std::uint64_t seed);
    relay_replay(const relay_replay&) = delete;
    relay_replay& operator=(const relay_replay&) = delete;
    relay_replay(relay_replay&&) = delete;
    relay_replay& operator=(relay_replay&&) = delete;
    ~relay_replay();

    /// Runs to the end.
    /// @return what was measured.
    replay_result run();

private:
    struct request;
    struct job;
    using request_ptr = std::shared_ptr<request>;
    using job_ptr = std::shared_ptr<job>;
    using end_hook = std::function<void(bool)>;

    void add_server(std::size_t service, int number);
    void schedule_arrivals(std::size_t kind);
    void begin(std::size_t kind, std::size_t entry, steady_time deadline, end_hook on_end);
    void try_next(const request_ptr& asked);
    void learn_conditions(const request_ptr& asked);
    void note_condition(std::size_t entry, const replay_server& of, owner_health condition);
    attempt_metadata order_for(const request_ptr& asked) const;
    void arrive(const job_ptr& made, const attempt_metadata& order);
    void wait_in_line(const job_ptr& made, const attempt_metadata& order);
    void run_job(const job_ptr& made);
    void work(const job_ptr& made);
    void make_calls(const job_ptr& made, int calls, std::chrono::nanoseconds left);
    void finish(const job_ptr& made, run_outcome outcome);
    void run_waiting(replay_server& at);
    job_ptr take_waiting(std::size_t server, std::uint64_t ticket);
    void refuse(const job_ptr& made, owner_reason reason, std::chrono::milliseconds retry_after);
    void tell(const job_ptr& made, attempt_report report);
    void on_report(const job_ptr& made, const attempt_report& report);
    void on_attempt_ended(const request_ptr& asked);
    void on_slow(const request_ptr& asked, int attempt);
    void end(const request_ptr& asked, const char* how);
    void count(const request& asked, const std::string& how);
    bool may_repeat(const request& asked, int attempts) const;
    bool has_free_slot(std::size_t service) const;
    std::chrono::nanoseconds way(std::size_t from, const replay_server& to) const;
    std::size_t kind_named(const std::string& name) const;
    int random_account(const replay_kind& of);
    bool chance(double share);
    double uniform(double least, double greatest);

    const replay_scenario& m_scenario;
    replay_version m_version;
    random_engine m_random; ///< Of work, failures and decisions.
    simulated_loop m_loop;
    steady_time m_start;
    owner_directory m_directory;
    std::vector<std::unique_ptr<replay_server>>
        m_servers; ///< Their daemons are the entries as well.
    std::map<std::string, std::size_t> m_by_address;
    std::vector<owner_ranking> m_rankings; ///< One for each entry.
    /// Owners by request that waits for a slot.
    std::map<std::pair<std::size_t, std::uint64_t>, job_ptr> m_waiting;
    replay_result m_result;
    replay_floor m_floor;
};

} // namespace galenaroad
