#pragma once

#include "support/store_test_fleet.h"

#include <atomic>
#include <thread>

namespace galenaroad {

/// A daemon without traffic that runs on a thread of its own, so that it can be suspended like a
/// process: its connections stay open and silent, and new ones are accepted but not served.
class suspendable_daemon {
public:
    /// @param store_address address of the store's stand-in.
    /// @param data_centre its data centre.
    /// @param seed seed of its random engines.
    suspendable_daemon(const std::string& store_address, std::string data_centre, unsigned seed)
        : m_data_centre(std::move(data_centre)),
          m_thread([this, store_address, seed] { run(store_address, seed); })
    {
    }

    suspendable_daemon(const suspendable_daemon&) = delete;
    suspendable_daemon& operator=(const suspendable_daemon&) = delete;
    suspendable_daemon(suspendable_daemon&&) = delete;
    suspendable_daemon& operator=(suspendable_daemon&&) = delete;

    ~suspendable_daemon()
    {
        m_is_ending = true;
        m_is_suspended = false;
        m_thread.join();
    }

    /// Suspends the daemon until it is destroyed.
    void suspend() { m_is_suspended = true; }

    /// Drops the store's responses to this daemon.
    void drop_store_responses() { m_link_change = link_change::cut; }

    /// Ends the loss of the store's responses.
    void restore_store_responses() { m_link_change = link_change::heal; }

    bool is_suspended() const { return m_is_suspended; }
    std::uint64_t plan_version() const { return m_plan_version; }
    const std::string& address() const { return m_address; }
    const std::string& data_centre() const { return m_data_centre; }

private:
    static constexpr auto poll_interval = std::chrono::milliseconds(10);

    enum class link_change { none, cut, heal };

    void run(const std::string& store_address, unsigned seed)
    {
        process_clock time;
        event_loop loop(time);
        decision_log log(time);
        store_test_node daemon(loop, log, store_address, m_data_centre, seed, m_address, {});
        daemon.node.start();
        daemon.node.on_heartbeat(daemon.make_heartbeat(1), [] {});
        std::function<void()> poll = [&] {
            m_plan_version = daemon.plan_version();
            change_link(daemon);
            while (m_is_suspended) {
                std::this_thread::sleep_for(poll_interval);
            }
            if (m_is_ending) {
                loop.stop();
                return;
            }
            loop.after(poll_interval, poll);
        };
        poll();
        loop.run();
    }

    void change_link(store_test_node& daemon)
    {
        const auto change = m_link_change.exchange(link_change::none);
        if (change == link_change::cut) {
            daemon.drop_responses();
        }
        if (change == link_change::heal) {
            daemon.to_store.heal();
        }
    }

    std::string m_data_centre;
    std::string m_address = free_address();
    std::atomic<bool> m_is_ending{false};
    std::atomic<bool> m_is_suspended{false};
    std::atomic<link_change> m_link_change{link_change::none};
    std::atomic<std::uint64_t> m_plan_version{0};
    std::thread m_thread; ///< Last, since it uses the other members.
};

/// Daemons that can be suspended, and the store's stand-in, which runs on the test's thread.
struct suspendable_fleet {
    process_clock time;
    event_loop loop{time};
    std::string address = free_address();
    soak_store store{loop, address, std::mt19937_64(1)};
    std::vector<std::unique_ptr<suspendable_daemon>> daemons;

    suspendable_fleet()
    {
        structured_log::configure("test", "", log_level::error);
        write_plan(1);
    }

    void add_data_centre(const std::string& name, int size)
    {
        for (int count = 0; count < size; ++count) {
            const auto seed = static_cast<unsigned>(10 * daemons.size());
            daemons.push_back(std::make_unique<suspendable_daemon>(address, name, seed));
        }
    }

    void write_plan(std::uint64_t version)
    {
        store.write(wire::operator_table, wire::plan_key, plan_text(version));
    }

    void run_for(std::chrono::milliseconds limit)
    {
        loop.after(limit, [this] { loop.stop(); });
        loop.run();
    }

    /// @return the daemons of a data centre in the order in which they become store readers.
    std::vector<suspendable_daemon*> in_reader_order(const std::string& data_centre) const
    {
        std::vector<suspendable_daemon*> result;
        for (const auto& each : daemons) {
            if (each->data_centre() == data_centre) {
                result.push_back(each.get());
            }
        }
        std::sort(result.begin(), result.end(), [](const auto* a, const auto* b) {
            return store_reader_order::is_before(a->address(), b->address());
        });
        return result;
    }

    void suspend_first(const std::string& data_centre, std::size_t count) const
    {
        const auto order = in_reader_order(data_centre);
        for (std::size_t place = 0; place < count; ++place) {
            order[place]->suspend();
        }
    }

    /// @return the number of running daemons with an older plan.
    long behind(std::uint64_t version) const
    {
        return std::count_if(daemons.begin(), daemons.end(), [&](const auto& each) {
            return !each->is_suspended() && each->plan_version() < version;
        });
    }
};

} // namespace galenaroad
