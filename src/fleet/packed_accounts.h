#pragma once

#include "fleet/client_account.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace galenaroad {

/// Some client accounts in few bytes: a plan may have 200,000 of them, most of which a daemon never
/// uses. An account with two keys takes about 65 bytes, an object of it takes twice as much.
class packed_accounts {
public:
    /// @param hash hash of the name.
    /// @param account an account; none with its name is held.
    void add(std::uint32_t hash, const client_account& account);

    /// Removes an account.
    /// @param hash hash of the name.
    /// @param name its name.
    void remove(std::uint32_t hash, std::string_view name);

    /// @return the account with a name, or nothing.
    std::optional<client_account> find(std::uint32_t hash, std::string_view name) const;

    /// @return true when an account with the same contents is held.
    bool holds(std::uint32_t hash, const client_account& account) const;

    /// Calls a function with each account whose name has a hash.
    template <typename Function>
    void for_each_with(std::uint32_t hash, Function function) const
    {
        for (auto each = first_with(hash); each < m_entries.size() && m_entries[each].hash == hash;
             ++each) {
            function(account_at(each));
        }
    }

    /// Calls a function with each account.
    template <typename Function>
    void for_each(Function function) const
    {
        for (std::size_t each = 0; each < m_entries.size(); ++each) {
            function(account_at(each));
        }
    }

private:
    struct entry {
        std::uint32_t hash;
        std::uint32_t offset; ///< Of the account's first byte.
    };

    std::size_t first_with(std::uint32_t hash) const;
    std::optional<std::size_t> index_of(std::uint32_t hash, std::string_view name) const;
    /// @return the account's bytes and those of all accounts after it.
    std::string_view bytes_from(std::size_t index) const;
    client_account account_at(std::size_t index) const;

    std::vector<entry> m_entries; ///< In the order of their hashes.
    std::vector<char> m_bytes;
};

} // namespace galenaroad
