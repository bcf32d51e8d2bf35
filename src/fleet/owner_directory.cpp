#include "fleet/owner_directory.h"

#include <xxhash.h>

namespace galenaroad {

namespace {

// As many instances as a restore may bring back at most: those that left within seconds.
constexpr std::size_t max_removed = 1024;

std::uint64_t hash_of(const owner_record& record)
{
    return XXH3_64bits_withSeed(record.address.data(), record.address.size(), record.revision);
}

} // namespace

bool owner_directory::merge(const owner_record& record)
{
    const auto removed = m_removed.find(record.address);
    if (removed != m_removed.end() && record.revision <= removed->second) {
        return false;
    }
    const auto [found, is_new] = m_owners.try_emplace(record.address);
    auto& held = found->second;
    if (!is_new && held.record.revision >= record.revision) {
        return false;
    }
    if (!is_new) {
        m_digest ^= hash_of(held.record);
        m_changes.erase(held.change);
    }
    m_digest ^= hash_of(record);
    held.record = record;
    held.change = ++m_latest_change;
    m_changes[held.change] = record.address;
    return true;
}

void owner_directory::remove(const std::string& address)
{
    const auto found = m_owners.find(address);
    if (found != m_owners.end()) {
        if (m_removed.size() >= max_removed) {
            m_removed.erase(m_removed.begin());
        }
        m_removed[address] = found->second.record.revision;
        m_digest ^= hash_of(found->second.record);
        m_changes.erase(found->second.change);
        m_owners.erase(found);
        ++m_removals;
    }
}

const owner_record* owner_directory::find(const std::string& address) const
{
    const auto found = m_owners.find(address);
    return found == m_owners.end() ? nullptr : &found->second.record;
}

std::vector<const owner_record*> owner_directory::ready_for(const std::string& service) const
{
    std::vector<const owner_record*> records;
    for (const auto& [address, held] : m_owners) {
        if (held.record.state == announced_state::ready && held.record.service == service) {
            records.push_back(&held.record);
        }
    }
    return records;
}

std::vector<owner_record> owner_directory::all() const
{
    return changed_since(0);
}

std::vector<owner_record> owner_directory::changed_since(std::uint64_t change) const
{
    std::vector<owner_record> records;
    for (auto each = m_changes.upper_bound(change); each != m_changes.end(); ++each) {
        records.push_back(m_owners.at(each->second).record);
    }
    return records;
}

} // namespace galenaroad
