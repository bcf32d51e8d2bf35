#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace galenaroad {

/// Digest of an API key. Keys are secrets, so daemons hold, exchange and compare only digests.
class api_key_digest {
public:
    /// The first 128 bits of SHA-256: enough that no two keys share a digest and that no key can be
    /// found for a digest, at half of the memory.
    static constexpr std::size_t size = 16;
    /// Longer texts are not keys: they leave no room for the other fields of a request.
    static constexpr std::size_t max_key_bytes = 4096;

    api_key_digest() = default;

    /// @param key the key.
    /// @return its digest.
    static api_key_digest of(std::string_view key);

    /// @param hex the digest as text, as from hex().
    /// @return the digest, or nothing when the text is not one.
    static std::optional<api_key_digest> from_hex(std::string_view hex);

    /// @param bytes the digest's bytes, as from bytes(); there are `size` of them.
    /// @return the digest.
    static api_key_digest from_bytes(std::string_view bytes);

    /// @return the digest in hexadecimal digits.
    std::string hex() const;

    /// @return the digest's bytes, valid as long as the digest.
    std::string_view bytes() const
    {
        return {reinterpret_cast<const char*>(m_bytes.data()), m_bytes.size()};
    }

    friend bool operator==(const api_key_digest& a, const api_key_digest& b)
    {
        return a.m_bytes == b.m_bytes;
    }

private:
    std::array<std::uint8_t, size> m_bytes{};
};

/// Limit on the requests of one client account, over all daemons together.
struct account_quota {
    double rate = 0;  ///< Requests per second; 0 for no limit.
    double burst = 0; ///< Requests beyond the rate that may run at once.

    bool is_limited() const { return rate > 0; }
};

/// A caller of the fleet's services, as the operators declare it.
struct client_account {
    std::string name;
    std::vector<api_key_digest> keys; ///< Each of them identifies the account.
    std::optional<int> priority;      ///< Takes precedence over the priority of a route.
    account_quota quota;
};

} // namespace galenaroad
