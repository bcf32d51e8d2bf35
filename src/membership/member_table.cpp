#include "membership/member_table.h"

#include <algorithm>

namespace galenaroad {

namespace {

constexpr auto forget_check_interval = std::chrono::minutes(1);
constexpr int max_random_attempts = 64;

// Members that left are kept without their upstreams: the kept version makes old records of them
// lose when they are merged.
std::shared_ptr<const member_record> without_upstreams(const member_record& record)
{
    auto stripped = std::make_shared<member_record>(record);
    stripped->upstreams.clear();
    stripped->upstreams.shrink_to_fit();
    return stripped;
}

} // namespace

instance_state member_entry::state() const
{
    if (observed_state == instance_state::dead) {
        return observed_state;
    }
    return leaving ? instance_state::leaving : observed_state;
}

std::vector<member_table::slot>::const_iterator member_table::position(std::string_view name) const
{
    return std::lower_bound(
        m_by_name.begin(), m_by_name.end(), name,
        [this](slot at, std::string_view key) { return m_entries[at].record->name < key; });
}

member_table::slot member_table::find(std::string_view name) const
{
    const auto found = position(name);
    if (found == m_by_name.end() || m_entries[*found].record->name != name) {
        return no_slot;
    }
    return *found;
}

void member_table::insert(const member& update, steady_time now)
{
    slot at = slots();
    if (m_free.empty()) {
        m_entries.emplace_back();
    }
    else {
        at = m_free.back();
        m_free.pop_back();
    }
    auto& entry = m_entries[at];
    entry.record = update.record;
    entry.version = update.version;
    entry.leaving = update.state == instance_state::leaving;
    entry.observed_state = instance_state::alive;
    entry.since = now;
    ++m_live;
    m_by_name.insert(position(update.record->name), at);
}

void member_table::set_observed_state(member_entry& entry, instance_state observed_state,
                                      steady_time now)
{
    if (entry.observed_state == observed_state) {
        return;
    }
    if (entry.observed_state == instance_state::dead) {
        ++m_live;
    }
    if (observed_state == instance_state::dead) {
        --m_live;
    }
    const auto at = static_cast<slot>(&entry - m_entries.data());
    if (observed_state == instance_state::suspect &&
        std::find(m_suspects.begin(), m_suspects.end(), at) == m_suspects.end()) {
        m_suspects.push_back(at);
    }
    entry.observed_state = observed_state;
    entry.since = now;
}

merge_result member_table::raise_version(member_entry& entry, std::uint64_t version, bool leaving,
                                         steady_time now)
{
    const bool was_dead = entry.observed_state == instance_state::dead;
    entry.version = version;
    entry.leaving = entry.leaving || leaving;
    set_observed_state(entry, instance_state::alive, now);
    return was_dead ? merge_result::revived : merge_result::changed;
}

merge_result member_table::merge(const member& update, steady_time now)
{
    const auto at = find(update.record->name);
    if (at == no_slot) {
        insert(update, now);
        return merge_result::added;
    }
    auto& entry = m_entries[at];
    const bool leaving = update.state == instance_state::leaving;
    if (update.record->incarnation < entry.record->incarnation) {
        return merge_result::unchanged;
    }
    if (update.record->incarnation > entry.record->incarnation) {
        entry.record = update.record;
        entry.leaving = false;
        return raise_version(entry, update.version, leaving, now);
    }
    const bool newer_content = update.record->content_version > entry.record->content_version;
    if (newer_content) {
        entry.record = update.record;
    }
    if (update.version > entry.version) {
        return raise_version(entry, update.version, leaving, now);
    }
    return newer_content ? merge_result::changed : merge_result::unchanged;
}

merge_result member_table::merge(const state_change& change, steady_time now)
{
    const auto at = find(change.name);
    const bool from_member =
        change.state == instance_state::alive || change.state == instance_state::leaving;
    if (at == no_slot) {
        return from_member ? merge_result::incomplete : merge_result::unchanged;
    }
    auto& entry = m_entries[at];
    if (change.incarnation != entry.record->incarnation) {
        const bool newer = change.incarnation > entry.record->incarnation;
        return newer && from_member ? merge_result::incomplete : merge_result::unchanged;
    }
    if (from_member) {
        if (change.version <= entry.version) {
            return merge_result::unchanged;
        }
        const bool leaving = change.state == instance_state::leaving;
        return raise_version(entry, change.version, leaving, now);
    }
    if (change.version < entry.version || entry.observed_state != instance_state::alive) {
        return merge_result::unchanged;
    }
    entry.version = change.version;
    set_observed_state(entry, instance_state::suspect, now);
    return merge_result::suspected;
}

bool member_table::suspect(slot at, steady_time now)
{
    auto& entry = m_entries[at];
    if (!entry.record || entry.observed_state != instance_state::alive) {
        return false;
    }
    set_observed_state(entry, instance_state::suspect, now);
    return true;
}

std::vector<member_table::slot> member_table::expire(steady_time now,
                                                     std::chrono::nanoseconds suspicion,
                                                     std::chrono::nanoseconds forget)
{
    std::vector<slot> died;
    std::vector<slot> remaining;
    for (const auto at : m_suspects) {
        auto& entry = m_entries[at];
        if (!entry.record || entry.observed_state != instance_state::suspect) {
            continue;
        }
        if (now - entry.since < suspicion) {
            remaining.push_back(at);
            continue;
        }
        set_observed_state(entry, instance_state::dead, now);
        if (entry.leaving) {
            entry.record = without_upstreams(*entry.record);
        }
        died.push_back(at);
    }
    m_suspects = std::move(remaining);
    if (now < m_next_forget) {
        return died;
    }
    m_next_forget = now + forget_check_interval;
    for (slot at = 0; at < slots(); ++at) {
        const auto& entry = m_entries[at];
        if (entry.record && entry.observed_state == instance_state::dead &&
            now - entry.since > forget) {
            remove(at);
        }
    }
    return died;
}

void member_table::remove(slot at)
{
    m_by_name.erase(position(m_entries[at].record->name));
    m_entries[at] = member_entry();
    m_free.push_back(at);
}

void member_table::compensate_for_pause(std::chrono::nanoseconds pause)
{
    for (const auto at : m_suspects) {
        m_entries[at].since += std::chrono::duration_cast<steady_time::duration>(pause);
    }
}

member_table::slot
member_table::random(random_engine& engine,
                     const std::function<bool(const member_entry&)>& accepts) const
{
    if (m_by_name.empty()) {
        return no_slot;
    }
    std::uniform_int_distribution<std::size_t> any(0, m_by_name.size() - 1);
    for (int i = 0; i < max_random_attempts; ++i) {
        const auto at = m_by_name[any(engine)];
        if (accepts(m_entries[at])) {
            return at;
        }
    }
    // Few members qualify: search all of them from a random position.
    const auto start = any(engine);
    for (std::size_t i = 0; i < m_by_name.size(); ++i) {
        const auto at = m_by_name[(start + i) % m_by_name.size()];
        if (accepts(m_entries[at])) {
            return at;
        }
    }
    return no_slot;
}

} // namespace galenaroad
