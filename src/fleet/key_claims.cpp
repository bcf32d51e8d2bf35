#include "fleet/key_claims.h"

#include <algorithm>
#include <cstring>
#include <tuple>

namespace galenaroad {

namespace {

// A vector that doubles when it grows leaves a quarter of its memory unused on average.
constexpr std::size_t growth_divisor = 8;

} // namespace

void key_claims::add(const api_key_digest& key, std::uint32_t account)
{
    if (m_claims.size() == m_claims.capacity()) {
        m_claims.reserve(m_claims.size() + m_claims.size() / growth_divisor + 1);
    }
    const claim added{part_of(key), account};
    m_claims.insert(m_claims.begin() + static_cast<std::ptrdiff_t>(first(added)), added);
}

void key_claims::remove(const api_key_digest& key, std::uint32_t account)
{
    const claim removed{part_of(key), account};
    const auto index = first(removed);
    const bool is_held = index < m_claims.size() && m_claims[index].key_part == removed.key_part &&
                         m_claims[index].account == account;
    if (is_held) {
        m_claims.erase(m_claims.begin() + static_cast<std::ptrdiff_t>(index));
    }
}

// The last bytes, since the first ones choose the part of the index.
std::uint32_t key_claims::part_of(const api_key_digest& key)
{
    std::uint32_t part = 0;
    const auto bytes = key.bytes();
    std::memcpy(&part, bytes.data() + bytes.size() - sizeof(part), sizeof(part));
    return part;
}

std::size_t key_claims::first(const claim& value) const
{
    const auto found = std::lower_bound(
        m_claims.begin(), m_claims.end(), value, [](const claim& a, const claim& b) {
            return std::tie(a.key_part, a.account) < std::tie(b.key_part, b.account);
        });
    return static_cast<std::size_t>(found - m_claims.begin());
}

} // namespace galenaroad
