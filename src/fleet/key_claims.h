#pragma once

#include "fleet/client_account.h"

#include <cstdint>
#include <vector>

namespace galenaroad {

/// Which accounts may declare a key. Holds a part of the key's digest only, so that a found account
/// has to be compared with the whole digest.
class key_claims {
public:
    /// @param key a key that an account declares.
    /// @param account hash of the account's name.
    void add(const api_key_digest& key, std::uint32_t account);

    /// Takes back one call of add().
    void remove(const api_key_digest& key, std::uint32_t account);

    /// Calls a function with the hash of each account that may declare a key, in ascending order.
    template <typename Function>
    void for_each(const api_key_digest& key, Function function) const
    {
        const auto part = part_of(key);
        for (auto each = first({part, 0}); each < m_claims.size(); ++each) {
            if (m_claims[each].key_part != part) {
                return;
            }
            function(m_claims[each].account);
        }
    }

private:
    struct claim {
        std::uint32_t key_part;
        std::uint32_t account;
    };

    static std::uint32_t part_of(const api_key_digest& key);
    std::size_t first(const claim& value) const;

    std::vector<claim> m_claims; ///< In order.
};

} // namespace galenaroad
