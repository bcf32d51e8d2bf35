#pragma once

#include "action/settlement.h"

#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>

namespace galenaroad {

/// Settlements that still have to be written to the store. Safe for use by several threads.
class settlement_queue {
public:
    /// @param max_body_bytes the bytes of response bodies to keep. A completion beyond it is kept
    /// as an attempt with unknown outcome.
    explicit settlement_queue(std::size_t max_body_bytes);

    /// Adds a settlement at the end.
    /// @param entry the settlement.
    void push(settlement entry);

    /// Takes the first settlement.
    /// @return the settlement, or nothing when there is none.
    std::optional<settlement> pop();

    /// Takes the settlement of an attempt.
    /// @param attempt_id the attempt.
    /// @return the settlement, or nothing when there is none.
    std::optional<settlement> take(const std::string& attempt_id);

    /// @return the number of settlements.
    std::size_t size() const;

    /// Counts the settlements of a kind.
    /// @param kind the kind.
    /// @return their number.
    std::size_t count(settlement_kind kind) const;

private:
    settlement remove_at(std::size_t index);

    const std::size_t m_max_body_bytes;
    mutable std::mutex m_mutex;
    std::deque<settlement> m_entries;
    std::size_t m_body_bytes = 0;
};

} // namespace galenaroad
