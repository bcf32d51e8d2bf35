#pragma once

#include "base/manual_clock.h"
#include "experiment/control_daemon.h"
#include "experiment/fake_network.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace galenaroad {

/// Shape of a simulated fleet.
struct fleet_shape {
    int daemons = 10;
    int regions = 3;
    int data_centres_per_region = 2;
    int upstreams_per_daemon = 0;
    int services = 1;
    std::uint64_t seed = 1;
    membership_settings settings;
};

/// Many daemons' membership and configuration in one process, over a fake network and a manual
/// clock. Each run with the same shape and the same calls is the same.
class control_fleet {
public:
    static constexpr std::chrono::milliseconds tick_interval{100};

    /// Called for each message before it is sent, with sender and receiver.
    using observer = std::function<void(int from, int to, const fake_network::payload&)>;

    /// @param shape the fleet; all daemons are stopped at first.
    explicit control_fleet(const fleet_shape& shape);

    /// Starts a daemon as a new process, with a new incarnation and no memory.
    /// @param index the daemon.
    void start(int index);

    /// Starts all daemons.
    void start_all();

    /// Ends a daemon without notice.
    void kill(int index);

    /// Freezes a daemon: it neither ticks nor receives. Messages to it wait, as in socket buffers.
    void freeze(int index, bool frozen);

    /// Lets time pass.
    /// @param span the time.
    void run_for(std::chrono::milliseconds span);

    /// Lets time pass until a condition holds.
    /// @param limit the longest time.
    /// @param done the condition, checked every 50 ms.
    /// @return the time it took, or a negative time when it did not hold within the limit.
    std::chrono::milliseconds run_until(std::chrono::milliseconds limit,
                                        const std::function<bool()>& done);

    /// @return whether the daemon runs.
    bool running(int index) const { return m_slots[index].daemon != nullptr; }

    /// @return a running daemon.
    control_daemon& operator[](int index) { return *m_slots[index].daemon; }
    const control_daemon& operator[](int index) const { return *m_slots[index].daemon; }

    /// @return what the daemon is, running or not.
    const daemon_identity& identity(int index) const { return m_slots[index].identity; }

    /// @return the number of daemons, running or not.
    int size() const { return static_cast<int>(m_slots.size()); }

    /// @return the faults of the network.
    network_faults& faults() { return m_network.faults(); }

    /// @return the time.
    const manual_clock& time() const { return m_clock; }

    /// @return the random engine of the fleet.
    random_engine& random() { return m_random; }

    /// @param watch called for each message.
    void observe(observer watch) { m_observer = std::move(watch); }

    /// Lets daemons that start later read table `contracts`.
    void use_table(table_service& table, object_store& objects);

    /// @param index whose view.
    /// @param other whose state.
    /// @return the state that one daemon sees another in; `dead` when it does not list it.
    instance_state state_seen(int index, int other) const;

    /// @return whether all running daemons see each other alive and nothing else.
    bool converged() const;

private:
    struct daemon_slot {
        daemon_identity identity;
        std::unique_ptr<control_daemon> daemon;
        steady_time next_tick;
        bool frozen = false;
        std::uint64_t starts = 0;
    };

    void step_to(steady_time until);
    void tick(int index);
    void deliver(const fake_network::delivery& message);
    void flush(int index);
    void send(int from, const std::string& address, fake_network::payload content);
    void reply(int from, int to, fake_network::payload content);
    std::chrono::microseconds latency(int from, int to) const;

    fleet_shape m_shape;
    manual_clock m_clock;
    random_engine m_random;
    fake_network m_network;
    std::vector<daemon_slot> m_slots;
    std::unordered_map<std::string, int> m_by_address;
    std::vector<fake_network::delivery> m_held;
    observer m_observer;
    table_service* m_table = nullptr;
    object_store* m_objects = nullptr;
};

} // namespace galenaroad
