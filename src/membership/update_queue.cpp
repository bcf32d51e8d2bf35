#include "membership/update_queue.h"

#include "membership/encoded_size.h"

#include <iterator>
#include <utility>

namespace galenaroad {

namespace {

// No update is smaller than this, so filling can stop early.
constexpr std::size_t min_update_bytes = 16;

// Filling stops after this many updates that did not fit. Trying all would cost more CPU time than
// using the last bytes of the budget is worth.
constexpr int max_misfits = 32;

// Two anti-entropy intervals.
constexpr auto max_queue_time = std::chrono::seconds(60);

/// Adds updates to a message as long as they fit.
class message_filler {
public:
    message_filler(gossip_updates& updates, std::size_t used, std::size_t budget,
                   const ejection_table& ejections, steady_time now)
        : m_updates(updates), m_used(used), m_budget(budget), m_ejections(ejections), m_now(now)
    {
    }

    bool full() const { return m_used + min_update_bytes > m_budget; }

    /// Sets the size of the next record, which is expensive to compute.
    void announce_size(std::size_t record_bytes) { m_record_bytes = record_bytes; }

    bool operator()(const member& update)
    {
        if (m_record_bytes <= m_budget) {
            return add(m_updates.members, update, m_record_bytes);
        }
        const auto& record = *update.record;
        const state_change notice{record.name, record.incarnation, update.version,
                                  record.content_version, update.state};
        return add(m_updates.changes, notice, encoded_bound(notice));
    }

    bool operator()(const state_change& change)
    {
        return add(m_updates.changes, change, encoded_bound(change));
    }

    bool operator()(const contract_head& head)
    {
        return add(m_updates.contracts, head, encoded_bound(head));
    }

    bool operator()(const service_id& service)
    {
        auto row = m_ejections.find(service, m_now);
        if (!row) {
            return true; // Expired: there is nothing to send, so it counts as sent.
        }
        if (encoded_bound(*row) > m_budget) {
            row->row.clear();
        }
        return add(m_updates.ejections, *row, encoded_bound(*row));
    }

private:
    template <typename Update>
    bool add(std::vector<Update>& list, const Update& update, std::size_t bytes)
    {
        if (m_used + bytes > m_budget) {
            return false;
        }
        m_used += bytes;
        list.push_back(update);
        return true;
    }

    gossip_updates& m_updates;
    std::size_t m_used;
    std::size_t m_budget;
    std::size_t m_record_bytes = 0;
    const ejection_table& m_ejections;
    steady_time m_now;
};

} // namespace

void update_queue::push(const member& update, urgency need)
{
    push("m" + update.record->name, update, need);
}

void update_queue::push(const state_change& change)
{
    push("s" + change.name, change, urgency::prompt);
}

void update_queue::push(const contract_head& head)
{
    push("c" + head.business, head, urgency::prompt);
}

void update_queue::push(const service_id& service)
{
    push("e" + service.business + "/" + service.service, service, urgency::prompt);
}

void update_queue::push(std::string key, subject content, urgency need)
{
    const auto known = m_keys.find(key);
    if (known != m_keys.end()) {
        erase(m_items.find(known->second));
    }
    const auto* record = std::get_if<member>(&content);
    const auto record_bytes = record == nullptr ? 0 : encoded_bound(*record);
    const auto number = m_next++;
    m_keys[key] = number;
    m_items.emplace(number, item{std::move(content), std::move(key), need, record_bytes, 0, {}});
    if (need == urgency::prompt) {
        ++m_prompt;
        ++m_unsent;
    }
    if (m_items.size() > max_updates) {
        erase(std::prev(m_items.end()));
    }
}

void update_queue::expire(steady_time now)
{
    for (auto each = m_items.begin(); each != m_items.end();) {
        auto& waiting = each->second;
        if (waiting.queued == steady_time()) {
            waiting.queued = now;
        }
        each = now - waiting.queued > max_queue_time ? erase(each) : std::next(each);
    }
}

update_queue::item_map::iterator update_queue::erase(item_map::iterator at)
{
    const auto& old = at->second;
    if (old.need == urgency::prompt) {
        --m_prompt;
        m_unsent -= old.sends == 0 ? 1 : 0;
    }
    m_keys.erase(old.key);
    return m_items.erase(at);
}

void update_queue::count_sent(item& sent)
{
    if (sent.need == urgency::prompt && sent.sends == 0) {
        --m_unsent;
    }
    ++sent.sends;
}

void update_queue::fill(gossip_updates& updates, std::size_t used, int limit,
                        const ejection_table& ejections, steady_time now)
{
    message_filler filler(updates, used, m_budget_bytes, ejections, now);
    int misfits = 0;
    for (auto each = m_items.begin(); each != m_items.end() && !filler.full();) {
        filler.announce_size(each->second.record_bytes);
        if (!std::visit(filler, each->second.content)) {
            ++each;
            if (++misfits == max_misfits) {
                return;
            }
            continue;
        }
        count_sent(each->second);
        each = each->second.sends >= limit ? erase(each) : std::next(each);
    }
}

} // namespace galenaroad
