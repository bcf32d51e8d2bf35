#pragma once

#include "fleet/client_account.h"
#include "fleet/persistent_map.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

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

    /// @return the checksum of an account, as plan_digest::of(); 0 when there is none.
    std::uint64_t digest_of(std::string_view name) const;

    /// Adds an account or replaces the one with the same name.
    /// @param account the account.
    void set(const client_account& account);

    /// Removes an account, if there is one.
    /// @param name name of the account.
    void erase(const std::string& name);

    /// @return number of accounts.
    std::size_t size() const { return m_accounts.size(); }

    /// @return sum of the accounts' checksums.
    std::uint64_t digest() const { return m_digest; }

    /// Calls a function with each account, in no particular order.
    template <typename Function>
    void for_each(Function function) const
    {
        m_accounts.for_each([&](const indexed_account& each) { function(*each.account); });
    }

private:
    struct indexed_account {
        account_ptr account;
        std::uint64_t digest = 0;
    };

    /// The accounts that declare one key.
    struct key_claim {
        api_key_digest key;
        std::vector<std::string> names;
    };

    void add_claim(const api_key_digest& key, const std::string& name);
    void remove_claim(const api_key_digest& key, const std::string& name);

    persistent_map<indexed_account> m_accounts; ///< By name.
    persistent_map<key_claim> m_claims;         ///< By key.
    std::uint64_t m_digest = 0;
};

} // namespace galenaroad
