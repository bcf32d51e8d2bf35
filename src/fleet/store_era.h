#pragma once

#include <cstdint>

namespace galenaroad {

/// Era of the platform's store. It rises each time the store comes back from an older copy, and
/// versions of its rows are comparable only within one era.
class store_era {
public:
    /// Creates the era of a store that names none.
    constexpr store_era() = default;

    /// @param number the number that the store sends.
    constexpr explicit store_era(std::uint64_t number) : m_number(number), m_is_known(true) {}

    /// @return true when the store has named the era.
    constexpr bool is_known() const { return m_is_known; }

    /// @return the number that the store sends; 0 when it is not known.
    constexpr std::uint64_t number() const { return m_number; }

    /// Eras are counted from 0 or 1.
    /// @return true when the store has certainly come back from a copy before this era.
    constexpr bool has_predecessors() const { return m_number > 1; }

    /// @return true when both eras are known and this one is the earlier.
    constexpr bool is_before(store_era other) const
    {
        return m_is_known && other.m_is_known && m_number < other.m_number;
    }

    friend constexpr bool operator==(store_era a, store_era b)
    {
        return a.m_is_known == b.m_is_known && a.m_number == b.m_number;
    }

    friend constexpr bool operator!=(store_era a, store_era b) { return !(a == b); }

private:
    std::uint64_t m_number = 0;
    bool m_is_known = false;
};

} // namespace galenaroad
