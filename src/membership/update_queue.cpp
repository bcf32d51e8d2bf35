#include "membership/update_queue.h"

#include "membership/encoded_size.h"

#include <utility>

namespace galenaroad {

namespace {

// An update smaller than this does not exist, so that filling ends early.
constexpr std::size_t least_update_bytes = 16;

/// Adds updates to a message as long as they fit.
class message_filler {
public:
    message_filler(gossip_updates& updates, std::size_t used, std::size_t budget,
                   const ejection_table& ejections, steady_time now)
        : m_updates(updates), m_used(used), m_budget(budget), m_ejections(ejections), m_now(now)
    {
    }

    bool full() const { return m_used + least_update_bytes > m_budget; }

    bool operator()(const member& update)
    {
        if (encoded_bound(update) <= m_budget) {
            return add(m_updates.members, update);
        }
        const auto& record = *update.record;
        const state_change notice{record.name, record.incarnation, update.version,
                                  record.content_version, update.state};
        return add(m_updates.changes, notice);
    }

    bool operator()(const state_change& change) { return add(m_updates.changes, change); }

    bool operator()(const contract_head& head) { return add(m_updates.contracts, head); }

    bool operator()(const service_id& service)
    {
        auto row = m_ejections.find(service, m_now);
        if (!row) {
            return true; // Expired: nothing to send, and it counts as sent.
        }
        if (encoded_bound(*row) > m_budget) {
            row->row.clear();
        }
        return add(m_updates.ejections, *row);
    }

private:
    template <typename Update>
    bool add(std::vector<Update>& list, const Update& update)
    {
        const auto bytes = encoded_bound(update);
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
    const auto number = m_next++;
    m_keys[key] = number;
    m_items.emplace(number, item{std::move(content), std::move(key), need, 0});
    if (need == urgency::prompt) {
        ++m_prompt;
        ++m_unsent;
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
    for (auto each = m_items.begin(); each != m_items.end() && !filler.full();) {
        if (!std::visit(filler, each->second.content)) {
            ++each;
            continue;
        }
        count_sent(each->second);
        each = each->second.sends >= limit ? erase(each) : std::next(each);
    }
}

} // namespace galenaroad
