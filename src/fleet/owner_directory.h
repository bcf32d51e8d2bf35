#pragma once

#include "fleet/owner_record.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace galenaroad {

/// All owners that this daemon knows. Records come from the store and from peers in any order.
class owner_directory {
public:
    /// Stores a record unless a newer one of the same owner is known.
    /// @param record the record.
    /// @return true when it changed the directory.
    bool merge(const owner_record& record);

    /// Removes an owner whose record was deleted. The record is not stored again, also when the
    /// store has lost that it was deleted.
    /// @param address the owner's address.
    void remove(const std::string& address);

    /// Finds an owner.
    /// @return its record, or null.
    const owner_record* find(const std::string& address) const;

    /// Lists the owners whose upstreams accept requests of a service.
    /// @param service the service.
    /// @return their records, valid until the directory changes.
    std::vector<const owner_record*> ready_for(const std::string& service) const;

    /// @return all records.
    std::vector<owner_record> all() const;

    /// @return number of the latest change; changes are numbered from 1 in each directory.
    std::uint64_t latest_change() const { return m_latest_change; }

    /// @return number of owners that were removed so far.
    std::uint64_t removals() const { return m_removals; }

    /// Lists the records that were stored after a change.
    /// @param change number of the change.
    std::vector<owner_record> changed_since(std::uint64_t change) const;

    /// @return a hash over all records. Directories with equal records have equal digests; a
    /// collision of different ones is very unlikely.
    std::uint64_t digest() const { return m_digest; }

    /// @return number of owners.
    std::size_t size() const { return m_owners.size(); }

private:
    struct entry {
        owner_record record;
        std::uint64_t change = 0; ///< Number of the change that stored the record.
    };

    std::map<std::string, entry> m_owners;
    std::map<std::string, std::uint64_t> m_removed; ///< Revisions of removed records, by owner.
    /// Address of the changed owner by change number.
    std::map<std::uint64_t, std::string> m_changes;
    std::uint64_t m_latest_change = 0;
    std::uint64_t m_removals = 0;
    std::uint64_t m_digest = 0;
};

} // namespace galenaroad
