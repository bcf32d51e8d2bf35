#pragma once

#include "fleet/store_reader_order.h"
#include "metadata_store.h"
#include "plan_decoder.h"
#include "soak/soak_store.h"
#include "support/relay_test_fleet.h"
#include "wire_names.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace galenaroad {

inline std::string plan_text(std::uint64_t version)
{
    return R"({"version":)" + std::to_string(version) + R"(,"routes":{},"services":{"s":{}}})";
}

/// A daemon with its own connection to the store.
struct store_test_node {
    std::string store_address = free_address();
    std::string peer_address;
    std::string listen_address; ///< Where it listens, if not at the peer address.
    soak_link to_store;
    metrics_registry metrics;
    relay_metrics counters{metrics};
    metadata_store store;
    relay_node node;

    store_test_node(event_loop& loop, decision_log& log, const std::string& address,
                    const std::string& data_centre, unsigned seed)
        : store_test_node(loop, log, address, data_centre, seed, free_address(), {})
    {
        node.start();
        node.on_heartbeat(make_heartbeat(1), [] {});
    }

    /// Creates a daemon that has not started yet.
    /// @param announced_address address by which peers know it, at which an earlier start may still
    /// listen.
    /// @param own_listen_address where it listens; empty for the announced address.
    store_test_node(event_loop& loop, decision_log& log, const std::string& address,
                    const std::string& data_centre, unsigned seed, std::string announced_address,
                    std::string own_listen_address)
        : peer_address(std::move(announced_address)),
          listen_address(std::move(own_listen_address)),
          to_store(loop, store_address, address),
          store(loop, store_address, data_centre, log, counters, random_engine(seed)),
          node({loop, store, log, metrics, plan_decoder::decode}, settings(data_centre),
               random_engine(seed + 1))
    {
    }

    upstream_heartbeat make_heartbeat(std::uint64_t sequence) const
    {
        upstream_heartbeat heartbeat;
        heartbeat.id = "i-" + peer_address;
        heartbeat.service = "s";
        heartbeat.address = "127.0.0.1:1";
        heartbeat.slots = 1;
        heartbeat.sequence = sequence;
        heartbeat.start_time_ms = 1;
        return heartbeat;
    }

    relay_settings settings(const std::string& data_centre) const
    {
        relay_settings made;
        made.location = {peer_address, data_centre, "region-" + data_centre};
        made.listen_address = listen_address;
        made.entry_address = free_address();
        made.own_service = "s";
        return made;
    }

    /// Drops the store's responses to this daemon; its calls still reach the store.
    void drop_responses() { to_store.cut(soak_link::direction::backward); }

    std::uint64_t plan_version() const
    {
        return node.plan() == nullptr ? 0 : node.plan()->version();
    }
};

/// Daemons without traffic that use a stand-in for the platform's store.
struct store_test_fleet {
    static constexpr int daemons_per_data_centre = 6;

    process_clock time;
    event_loop loop{time};
    decision_log log{time};
    std::string address = free_address();
    soak_store store{loop, address, std::mt19937_64(1)};
    std::vector<std::unique_ptr<store_test_node>> nodes;
    std::set<const store_test_node*> unreachable;

    explicit store_test_fleet(const std::vector<std::string>& data_centres)
    {
        structured_log::configure("test", "", log_level::error);
        write_plan(1);
        for (const auto& each : data_centres) {
            for (int count = 0; count < daemons_per_data_centre; ++count) {
                const auto seed = static_cast<unsigned>(nodes.size());
                nodes.push_back(
                    std::make_unique<store_test_node>(loop, log, address, each, 10 * seed));
            }
        }
        run_for(3s);
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

    /// Drops the store's responses to the first daemons of a data centre, in the order in which
    /// they become store readers.
    void cut_off_first(const std::string& data_centre, std::size_t count)
    {
        const auto order = store_reader_order::daemons(nodes.front()->node.owners(), data_centre);
        REQUIRE(order.size() >= count);
        for (const auto& each : nodes) {
            const auto place = std::find(order.begin(), order.end(), each->peer_address);
            if (place != order.end() && place < order.begin() + static_cast<long>(count)) {
                each->drop_responses();
                unreachable.insert(each.get());
            }
        }
    }

    /// Counts the daemons that can reach the store and use the given version of the plan.
    long reachable_with_plan(std::uint64_t version) const
    {
        return std::count_if(nodes.begin(), nodes.end(), [&](const auto& each) {
            return unreachable.count(each.get()) == 0 && each->plan_version() == version;
        });
    }

    long with_plan(std::uint64_t version) const
    {
        return std::count_if(nodes.begin(), nodes.end(),
                             [&](const auto& each) { return each->plan_version() == version; });
    }
};

} // namespace galenaroad
