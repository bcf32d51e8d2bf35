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
    /// Takes a record unless a newer one of the same owner is held.
    /// @param record the record.
    /// @return true when it changed the directory.
    bool merge(const owner_record& record);

    /// Removes an owner whose record was dropped.
    /// @param address the owner's address.
    void remove(const std::string& address);

    /// Finds an owner.
    /// @return its record, or null.
    const owner_record* find(const std::string& address) const;

    /// Lists the owners whose upstreams take work of a service.
    /// @param service the service.
    /// @return their records, valid until the directory changes.
    std::vector<const owner_record*> ready_for(const std::string& service) const;

    /// @return all records.
    std::vector<owner_record> all() const;

    /// @return a value that is equal for directories with equal records, for all practical
    /// purposes.
    std::uint64_t digest() const { return m_digest; }

    /// @return number of owners.
    std::size_t size() const { return m_owners.size(); }

private:
    std::map<std::string, owner_record> m_owners;
    std::uint64_t m_digest = 0;
};

} // namespace galenaroad
