#pragma once

#include "base/error_kind.h"
#include "base/manual_clock.h"
#include "health/ejection_view.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace galenaroad::floor_test {

/// Table service with a single row and with faults that apply to the next calls. Unlike
/// memory_table_service, it can run a concurrent writer between a read and a write.
class racing_store : public table_service {
public:
    bool is_unavailable = false;
    bool loses_next_response = false;
    bool ignores_tags = false; ///< Injected fault: writes without compare-and-set.
    std::function<void()> concurrent_writer;
    std::function<void(const std::string&)> on_effect;
    std::string value;
    int version = 0;

    result<table_row> read(const std::string&, const std::string& key) override
    {
        if (is_unavailable) {
            return tl::unexpected(make_error_code(error_kind::store_unavailable));
        }
        return table_row{key, value, version == 0 ? "" : std::to_string(version)};
    }
    result<std::vector<table_row>> list(const std::string&, const std::string&, int) override
    {
        return std::vector<table_row>{};
    }
    result<std::string> insert(const std::string&, const std::string&,
                               const std::string& text) override
    {
        return put(text, "0");
    }
    result<std::string> update(const std::string&, const std::string&, const std::string& text,
                               const std::string& expected) override
    {
        return put(text, expected);
    }
    std::error_code remove(const std::string&, const std::string&, const std::string&) override
    {
        return make_error_code(error_kind::internal);
    }

private:
    result<std::string> put(const std::string& text, const std::string& expected)
    {
        if (auto writer = std::exchange(concurrent_writer, nullptr)) {
            writer();
        }
        if (is_unavailable) {
            return tl::unexpected(make_error_code(error_kind::store_unavailable));
        }
        if (!ignores_tags && expected != std::to_string(version)) {
            return tl::unexpected(make_error_code(error_kind::version_conflict));
        }
        value = text;
        ++version;
        on_effect(text);
        if (std::exchange(loses_next_response, false)) {
            return tl::unexpected(make_error_code(error_kind::outcome_unknown));
        }
        return std::to_string(version);
    }
};

/// One generated step: its kind, the daemon, the upstream and an amount. Each is an arbitrary
/// number, which floor_history::run() reduces to the valid range.
using step = std::tuple<int, int, int, int>;
constexpr int step_kinds = 14;

/// Runs evaluators, views and faults, and checks the capacity floor independently, from the JSON
/// text of the written rows.
class floor_history {
public:
    static constexpr int upstreams = 12;
    static constexpr int daemons = 4;

    explicit floor_history(int slots, int floor_slots) : m_slots(slots), m_floor(floor_slots)
    {
        m_store.on_effect = [this](const std::string& text) { check_write(text); };
        for (int number = 0; number < daemons; ++number) {
            m_known.push_back(capacity_now());
            m_views.emplace_back();
            m_ledgers.push_back(nullptr);
            restart(number);
        }
    }

    void inject_fault() { m_store.ignores_tags = true; }

    /// Runs one step and then checks all views.
    void run(const step& next)
    {
        const auto [kind, actor, target, amount] = next;
        const int daemon = actor % daemons;
        const upstream_id upstream = id(target % upstreams);
        switch (kind % step_kinds) {
        case 0:
        case 1:
        case 2:
            act(daemon, upstream, 0);
            break;
        case 3:
            act(daemon, upstream, 1);
            break;
        case 4:
            act(daemon, upstream, 2);
            break;
        case 5:
            act(daemon, upstream, 3);
            break;
        case 6:
            m_crashed.insert(target % upstreams);
            break;
        case 7:
            m_crashed.erase(target % upstreams);
            break;
        case 8:
            m_known[daemon] = capacity_now();
            break;
        case 9:
            m_store.is_unavailable = amount % 3 == 0;
            break;
        case 10:
            m_store.loses_next_response = true;
            break;
        case 11:
            m_store.concurrent_writer = [this, concurrent_writer = (daemon + 1) % daemons,
                                         upstream] {
                act(concurrent_writer, id((index_of(upstream) + 1) % upstreams), 0);
            };
            break;
        case 12:
            restart(daemon);
            break;
        default:
            break;
        }
        m_clock.advance(std::chrono::milliseconds(amount * 37 % 4000));
        deliver();
        check_views();
    }

    const std::string& breach() const { return m_breach; }
    int grants() const { return m_grants; }

private:
    struct message {
        aged_row row;
        int receiver;
        steady_time arrival;
    };

    static upstream_id id(int number) { return {"i" + std::to_string(10 + number), "orders"}; }
    static int index_of(const upstream_id& upstream)
    {
        return std::stoi(upstream.instance.substr(1)) - 10;
    }

    service_capacity capacity_now() const
    {
        service_capacity capacity{{"cista-pipa", "orders"}, m_floor, {}};
        for (int number = 0; number < upstreams; ++number) {
            if (m_crashed.count(number) == 0) {
                capacity.members.push_back({id(number), 1, m_slots});
            }
        }
        return capacity;
    }

    void restart(int daemon)
    {
        m_ledgers[daemon] = std::make_unique<ejection_ledger>(
            m_store, m_clock, "d" + std::to_string(daemon) + "." + std::to_string(++m_starts));
    }

    void act(int daemon, const upstream_id& upstream, int action)
    {
        const int outer = std::exchange(m_acting, daemon);
        ejection_ledger& ledger = *m_ledgers[daemon];
        const service_capacity capacity = m_known[daemon];
        const auto changed = action == 0   ? ledger.propose(capacity, upstream, "test")
                             : action == 1 ? ledger.renew(capacity, {upstream})
                             : action == 2 ? ledger.release(capacity.service, upstream)
                                           : ledger.drain(capacity, upstream, "test");
        m_acting = outer;
        if (changed) {
            send(daemon, *changed);
        }
    }

    // Messages are delayed by up to the grace period, and one in four is lost.
    void send(int sender, const aged_row& row)
    {
        for (int receiver = 0; receiver < daemons; ++receiver) {
            m_serial = m_serial * 1103515245U + 12345U;
            if (receiver == sender || (m_serial >> 16U) % 4 != 0) {
                const std::chrono::milliseconds delay((m_serial >> 18U) % 5000);
                const auto arrival =
                    m_clock.steady_now() + (receiver == sender ? 0 * delay : delay);
                m_messages.push_back({row, receiver, arrival});
            }
        }
    }

    void deliver()
    {
        const steady_time now = m_clock.steady_now();
        for (const message& pending : m_messages) {
            if (pending.arrival <= now) {
                // Received at its arrival time, which is between two steps.
                m_views[pending.receiver].receive(pending.row, pending.arrival);
            }
        }
        m_messages.erase(std::remove_if(m_messages.begin(), m_messages.end(),
                                        [&](const message& one) { return one.arrival <= now; }),
                         m_messages.end());
    }

    void check_write(const std::string& text)
    {
        const auto row = nlohmann::json::parse(text);
        std::set<std::string> removed;
        bool is_grant = false;
        for (const auto& entry : row.at("entries")) {
            removed.insert(entry.at("instance").get<std::string>());
            is_grant |= entry.at("grant") == row.at("write");
        }
        m_in_row = removed;
        if (!is_grant) {
            return;
        }
        ++m_grants;
        int slots = 0;
        for (const capacity_member& member : m_known[m_acting].members) {
            slots += removed.count(member.upstream.instance) == 0 ? member.slots : 0;
        }
        if (slots < m_floor) {
            m_breach = "granted below the floor: " + text;
        }
    }

    // Every entry that a daemon applies must be in the store's row; otherwise evaluators would not
    // count it.
    void check_views()
    {
        service_capacity all = capacity_now();
        for (const ejection_view& view : m_views) {
            int live = 0;
            bool excludes_ejected = false;
            const auto known_row = view.current_row(all.service, m_clock.steady_now());
            for (const auto& [upstream, eligibility] :
                 view.eligibilities(all, m_clock.steady_now())) {
                live += eligibility == upstream_eligibility::excluded ? 0 : m_slots;
                if (eligibility == upstream_eligibility::excluded) {
                    excludes_ejected |=
                        known_row->row.find(upstream)->kind == removal_kind::ejected;
                    if (m_in_row.count(upstream.instance) == 0) {
                        m_breach = "applied without an entry in the row: " + upstream.instance;
                    }
                }
            }
            if (live < m_floor && excludes_ejected) {
                m_breach = "an ejected upstream is excluded below the floor";
            }
        }
    }

    int m_slots;
    int m_floor;
    manual_clock m_clock;
    racing_store m_store;
    std::set<int> m_crashed;
    std::vector<service_capacity> m_known; ///< By daemon; may be outdated.
    std::vector<std::unique_ptr<ejection_ledger>> m_ledgers;
    std::vector<ejection_view> m_views;
    std::vector<message> m_messages;
    std::set<std::string> m_in_row; ///< Instances with an entry in the store's row.
    std::string m_breach;
    int m_acting = 0;
    int m_grants = 0;
    int m_starts = 0;
    unsigned m_serial = 1;
};

} // namespace galenaroad::floor_test
