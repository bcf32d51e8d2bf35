#pragma once

#include "fleet/client_account.h"
#include "fleet/key_claims.h"
#include "fleet/packed_accounts.h"
#include "fleet/shared_parts.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace galenaroad {

/// The client accounts of one version of the plan, found by name and by key. Copies share their
/// parts, so that the next version costs as much as what has changed.
///
/// A key that several accounts declare identifies none of them: no client is ever taken for
/// another, and the result does not depend on the order in which accounts were added.
class account_index {
public:
    using account_ptr = std::shared_ptr<const client_account>;

    /// @param name name of the account.
    /// @return the account, or null.
    account_ptr find(std::string_view name) const;

    /// @param key digest of a key.
    /// @return the account that the key identifies, or null.
    account_ptr find_by_key(const api_key_digest& key) const;

    /// @return true when an account with the same contents is held.
    bool holds(const client_account& account) const;

    /// Adds an account or replaces the one with the same name.
    /// @param account the account.
    void set(const client_account& account);

    /// Removes an account, if there is one.
    /// @param name name of the account.
    void erase(const std::string& name);

    /// @return number of accounts.
    std::size_t size() const { return m_size; }

    /// @return sum of the accounts' checksums.
    std::uint64_t digest() const { return m_digest; }

    /// Calls a function with each account, in no particular order.
    template <typename Function>
    void for_each(Function function) const
    {
        m_accounts.for_each([&](const packed_accounts& part) { part.for_each(function); });
    }

private:
    // A change copies the table of parts and one part, which are of similar size with some 200,000
    // accounts.
    static constexpr std::size_t part_count = 1024;

    static std::uint32_t hash_of(std::string_view name);
    static std::size_t part_of(std::uint32_t hash);
    static std::size_t part_of(const api_key_digest& key);

    shared_parts<packed_accounts, part_count> m_accounts; ///< By the hash of their names.
    shared_parts<key_claims, part_count> m_claims;        ///< By key.
    std::size_t m_size = 0;
    std::uint64_t m_digest = 0;
};

} // namespace galenaroad
