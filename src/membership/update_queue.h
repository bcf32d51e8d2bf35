#pragma once

#include "base/clock.h"
#include "membership/ejection_table.h"
#include "membership/gossip_message.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <variant>

namespace galenaroad {

/// Updates that a daemon still passes on, newest first. Each is sent a limited number of times and
/// for a limited time. An update on the same subject replaces the older one. When many wait, as
/// after the start of a whole fleet, the oldest are dropped and left to anti-entropy.
class update_queue {
public:
    /// How soon an update has to reach the fleet.
    enum class urgency {
        piggyback, ///< With messages that are sent anyway.
        prompt,    ///< Causes messages of its own.
    };

    /// Greatest number of updates that wait.
    static constexpr std::size_t most_items = 1024;

    /// @param budget_bytes the greatest size of the updates in a message.
    explicit update_queue(std::size_t budget_bytes) : m_budget_bytes(budget_bytes) {}

    /// @param update a member's record.
    /// @param need how soon it has to reach the fleet.
    void push(const member& update, urgency need);
    /// @param change a change of state; always prompt.
    void push(const state_change& change);
    /// @param head a contract version; always prompt.
    void push(const contract_head& head);
    /// @param service the service whose ejection row changed; always prompt.
    void push(const service_id& service);

    /// Fills a message up to the byte budget and counts what was sent. A record or row beyond the
    /// budget is announced by its version only; the receiver asks the sender for it.
    /// @param updates the updates of the message; what they hold already counts as `used`.
    /// @param used bytes of the budget that are taken already.
    /// @param limit how often each update is sent.
    /// @param ejections where the text of rows is found.
    /// @param now the time.
    void fill(gossip_updates& updates, std::size_t used, int limit, const ejection_table& ejections,
              steady_time now);

    /// Drops updates that have waited for longer than an exchange of anti-entropy takes.
    /// @param now the time.
    void expire(steady_time now);

    /// @return whether a prompt update waits that has never been sent.
    bool has_unsent() const { return m_unsent > 0; }

    /// @return whether a prompt update waits.
    bool has_prompt() const { return m_prompt > 0; }

    /// @return the number of updates that wait.
    std::size_t size() const { return m_items.size(); }

private:
    using subject = std::variant<member, state_change, contract_head, service_id>;

    struct item {
        subject content;
        std::string key;
        urgency need = urgency::piggyback;
        std::size_t record_bytes = 0; ///< Of a member's record.
        int sends = 0;
        steady_time queued;
    };
    using item_map = std::map<std::uint64_t, item, std::greater<>>;

    void push(std::string key, subject content, urgency need);
    item_map::iterator erase(item_map::iterator at);
    void count_sent(item& sent);

    std::size_t m_budget_bytes;
    item_map m_items;
    std::unordered_map<std::string, std::uint64_t> m_keys;
    std::uint64_t m_next = 0;
    std::size_t m_prompt = 0;
    std::size_t m_unsent = 0;
};

} // namespace galenaroad
