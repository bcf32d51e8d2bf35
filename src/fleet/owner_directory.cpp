#include "fleet/owner_directory.h"

#include <xxhash.h>

namespace galenaroad {

namespace {

std::uint64_t hash_of(const owner_record& record)
{
    return XXH3_64bits_withSeed(record.address.data(), record.address.size(), record.revision);
}

} // namespace

bool owner_directory::merge(const owner_record& record)
{
    const auto found = m_owners.find(record.address);
    if (found == m_owners.end()) {
        m_owners.emplace(record.address, record);
        m_digest ^= hash_of(record);
        return true;
    }
    if (found->second.revision >= record.revision) {
        return false;
    }
    m_digest ^= hash_of(found->second) ^ hash_of(record);
    found->second = record;
    return true;
}

void owner_directory::remove(const std::string& address)
{
    const auto found = m_owners.find(address);
    if (found != m_owners.end()) {
        m_digest ^= hash_of(found->second);
        m_owners.erase(found);
    }
}

const owner_record* owner_directory::find(const std::string& address) const
{
    const auto found = m_owners.find(address);
    return found == m_owners.end() ? nullptr : &found->second;
}

std::vector<const owner_record*> owner_directory::ready_for(const std::string& service) const
{
    std::vector<const owner_record*> records;
    for (const auto& [address, record] : m_owners) {
        if (record.state == announced_state::ready && record.service == service) {
            records.push_back(&record);
        }
    }
    return records;
}

std::vector<owner_record> owner_directory::all() const
{
    std::vector<owner_record> records;
    records.reserve(m_owners.size());
    for (const auto& [address, record] : m_owners) {
        records.push_back(record);
    }
    return records;
}

} // namespace galenaroad
