#pragma once

#include "support/large_plan_text.h"
#include "support/store_test_fleet.h"

#include <memory>
#include <vector>

namespace galenaroad {

/// Daemons of one data centre whose instances have thin links, to the store and to each other.
class thin_link_fleet {
public:
    /// 10 Mbit/s, as on the smallest instances.
    static constexpr std::size_t link_rate = 1'250'000;

    /// @param size number of daemons.
    /// @param routes number of routes of the first plan, which has version 1.
    thin_link_fleet(int size, int routes)
    {
        structured_log::configure("test", "", log_level::error);
        write_plan(1, routes);
        for (int count = 0; count < size; ++count) {
            add_daemon(static_cast<unsigned>(count));
        }
        run_for(start_time);
    }

    void write_plan(std::uint64_t version, int routes)
    {
        m_store.write(wire::operator_table, wire::plan_key, large_plan_text(version, routes));
    }

    void run_for(std::chrono::milliseconds limit)
    {
        m_loop.after(limit, [this] { m_loop.stop(); });
        m_loop.run();
    }

    /// @return the number of daemons with an older plan.
    long behind(std::uint64_t version) const
    {
        return std::count_if(m_nodes.begin(), m_nodes.end(),
                             [&](const auto& each) { return each->plan_version() < version; });
    }

    /// @return bytes that the daemons have sent to their peers in responses.
    std::size_t bytes_to_peers() const
    {
        std::size_t bytes = 0;
        for (const auto& each : m_links) {
            bytes += each->passed(soak_link::direction::backward);
        }
        return bytes;
    }

private:
    // Within this time after the start, the fleet has its usual store readers.
    static constexpr auto start_time = std::chrono::seconds(6);

    void add_daemon(unsigned seed)
    {
        const auto announced = free_address();
        const auto listening = free_address();
        m_links.push_back(std::make_unique<soak_link>(m_loop, announced, listening));
        m_links.back()->limit_rate(link_rate);
        m_nodes.push_back(std::make_unique<store_test_node>(m_loop, m_log, m_store_address, "dc",
                                                            10 * seed, announced, listening));
        auto& added = *m_nodes.back();
        added.to_store.limit_rate(link_rate);
        added.node.start();
        added.node.on_heartbeat(added.make_heartbeat(1), [] {});
    }

    process_clock m_time;
    event_loop m_loop{m_time};
    decision_log m_log{m_time};
    std::string m_store_address = free_address();
    soak_store m_store{m_loop, m_store_address, std::mt19937_64(1)};
    std::vector<std::unique_ptr<soak_link>> m_links;
    std::vector<std::unique_ptr<store_test_node>> m_nodes;
};

} // namespace galenaroad
