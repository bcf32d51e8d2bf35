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

/// Updates that a daemon disseminates by gossip, newest first. Each is sent a limited number of
/// times and for a limited time. An update on the same subject replaces the older one. When too
/// many are queued, as after the start of a whole fleet, the oldest are dropped and left to
/// anti-entropy.
class update_queue {
public:
    /// Urgency of an update.
    enum class urgency {
        piggyback, ///< Sent only in messages that are sent anyway.
        prompt,    ///< Causes update messages to be sent for it.
    };

    /// Maximum number of queued updates.
    static constexpr std::size_t max_updates = 1024;

    /// @param budget_bytes the maximum size of the updates in a message.
    explicit update_queue(std::size_t budget_bytes) : m_budget_bytes(budget_bytes) {}

    /// @param update a member's record.
    /// @param need the urgency.
    void push(const member& update, urgency need);
    /// @param change a change of state; always prompt.
    void push(const state_change& change);
    /// @param head a contract version; always prompt.
    void push(const contract_head& head);
    /// @param service the service whose ejection row changed; always prompt.
    void push(const service_id& service);

    /// Adds updates to a message up to the byte budget and counts them as sent. A record or row
    /// that alone exceeds the budget is announced by its version only; the receiver requests it
    /// from the sender.
    /// @param updates the updates of the message; existing ones are included in `used`.
    /// @param used bytes of the budget that are already used.
    /// @param limit the number of times that each update is sent.
    /// @param ejections the table from which the text of rows is taken.
    /// @param now the time.
    void fill(gossip_updates& updates, std::size_t used, int limit, const ejection_table& ejections,
              steady_time now);

    /// Drops updates that have been queued for longer than two anti-entropy intervals.
    /// @param now the time.
    void expire(steady_time now);

    /// @return whether a queued prompt update has never been sent.
    bool has_unsent() const { return m_unsent > 0; }

    /// @return whether a prompt update is queued.
    bool has_prompt() const { return m_prompt > 0; }

    /// @return the number of queued updates.
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
