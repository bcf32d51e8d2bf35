#pragma once

#include "action/settlement.h"

#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>

namespace galenaroad {

/// Queue of settlements that still have to be written to the store. Thread-safe.
class settlement_queue {
public:
    /// @param max_body_bytes the maximum total size of the response bodies. A completion that would
    /// exceed it is stored as an attempt with an unknown outcome.
    explicit settlement_queue(std::size_t max_body_bytes);

    /// Appends a settlement.
    /// @param entry the settlement.
    void push(settlement entry);

    /// Removes and returns the first settlement.
    /// @return the settlement, or an empty optional without one.
    std::optional<settlement> pop();

    /// Removes and returns the settlement of an attempt.
    /// @param attempt_id the attempt.
    /// @return the settlement, or an empty optional without one.
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
