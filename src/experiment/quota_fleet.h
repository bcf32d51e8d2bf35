#pragma once

#include "accounts/quota_client.h"
#include "accounts/quota_holder.h"
#include "experiment/simulated_loop.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace galenaroad {

/// Settings of a quota_fleet.
struct quota_fleet_settings {
    std::size_t daemons = 10;
    std::size_t regions = 3; ///< Daemons belong to them in turn.
    std::chrono::microseconds local_delay{500};
    std::chrono::milliseconds region_delay{12};
    double loss = 0;                                 ///< Share of messages that are lost.
    std::chrono::milliseconds max_record_delay{300}; ///< Until daemons know of a change.
    bool cuts_refuse = false; ///< Daemons on another side refuse connections.
    quota_tolerance tolerance;
    /// All daemons have one view of the members and of the quotas, which saves memory while there
    /// are no changes.
    bool shares_members = false;
    std::uint64_t seed = 1;
};

/// What the daemons of a quota_fleet have sent.
struct quota_traffic {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0; ///< With the heads of IP and UDP.
    std::uint64_t region_messages = 0;
    std::uint64_t region_bytes = 0; ///< Between regions.
};

/// The quota decisions of many daemons, over a network that delays and loses messages.
class quota_fleet {
public:
    /// A request that ran.
    struct run {
        steady_time sent;
        steady_time started;
    };

    using verdict_handler = std::function<void(const quota_verdict&)>;

    quota_fleet(simulated_loop& loop, quota_fleet_settings settings);

    /// Sets the quota of an account on all daemons; each knows it after the time of a record.
    void set_quota(const std::string& account, const account_quota& quota);

    /// Sends a request of an account to a daemon.
    /// @param does_run whether the request runs if it is admitted.
    /// @param on_verdict called with the verdict.
    void request(
        std::size_t daemon, const std::string& account, bool does_run = true,
        const verdict_handler& on_verdict = [](const auto&) {});

    void kill(std::size_t daemon);
    void start(std::size_t daemon);
    void suspend(std::size_t daemon, std::chrono::milliseconds length);
    void set_side(std::size_t daemon, int side);  ///< Sides do not reach each other.
    void lose_path(std::size_t a, std::size_t b); ///< Between two daemons.
    std::size_t add();
    void remove(std::size_t daemon);

    bool is_running(std::size_t daemon) const { return m_daemons[daemon]->is_running; }
    std::size_t size() const { return m_daemons.size(); }
    std::size_t holder_of(const std::string& account) { return ranked(account).front(); }
    std::vector<std::size_t> ranked(const std::string& account);
    const std::vector<run>& runs(const std::string& account) { return m_runs[account]; }
    const quota_traffic& traffic() const { return m_traffic; }

    /// @return by how much the requests of an account exceeded its quota with the tolerance in the
    /// worst window; negative if they did not.
    double worst_excess(const std::string& account, const account_quota& quota) const;

private:
    struct daemon_state {
        std::string address;
        std::size_t region = 0;
        int side = 0;
        bool is_running = false;
        bool is_member = false;
        std::uint64_t start = 0;
        std::uint64_t revision = 1;
        steady_time suspended_until;
        std::map<std::string, account_quota> quotas;
        std::map<std::string, steady_time> probed_at;
        std::unique_ptr<owner_directory> directory;
        std::shared_ptr<holder_members> members;
        std::unique_ptr<holder_authority> authority;
        std::unique_ptr<quota_holder> holder;
        std::unique_ptr<quota_client> client;
    };

    using action = std::function<void(daemon_state&)>;

    void at_daemon(std::size_t daemon, std::chrono::nanoseconds delay, action next);
    void transfer(std::size_t from, std::size_t to, std::size_t bytes, action next);
    void send_question(std::size_t from, const quota_route& route, const quota_question& question);
    void deliver_question(std::size_t from, std::size_t via, std::size_t to,
                          const std::string& text);
    void record_contact(daemon_state& receiver, std::size_t sender) const;
    void probe(std::size_t from, const std::string& address);
    void ask_handover(std::size_t from, const std::string& address);
    void announce(std::size_t daemon, announced_state state);
    void send_record(std::size_t from, std::size_t to, const owner_record& record);
    void deliver_record(std::size_t daemon, const owner_record& record);
    std::chrono::nanoseconds random_time(std::chrono::nanoseconds max);
    std::chrono::nanoseconds delay_between(std::size_t a, std::size_t b) const;
    bool is_reachable(std::size_t a, std::size_t b) const;
    std::size_t index_of(const std::string& address) const;

    simulated_loop& m_loop;
    quota_fleet_settings m_settings;
    random_engine m_random;
    std::vector<std::unique_ptr<daemon_state>> m_daemons;
    owner_directory m_shared_directory;
    std::shared_ptr<holder_members> m_shared_members = std::make_shared<holder_members>();
    std::map<std::string, owner_record> m_records;
    std::map<std::string, account_quota> m_quotas;
    std::map<std::string, std::size_t> m_indices;
    std::map<std::string, std::vector<run>> m_runs;
    std::set<std::pair<std::size_t, std::size_t>> m_lost_paths;
    quota_traffic m_traffic;
};

} // namespace galenaroad
