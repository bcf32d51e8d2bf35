#pragma once

#include "relay/buffer_budget.h"

#include <string>
#include <string_view>

namespace galenaroad {

/// Body of a message that is held in memory while it arrives. A faulty sender may send without end,
/// so that each body has a limit, and all bodies together have a budget.
class buffered_body {
public:
    /// Creates an empty body that accepts no bytes.
    buffered_body() = default;

    /// @param budget shared by all bodies; must outlive this one.
    /// @param max_bytes limit of this body.
    buffered_body(buffer_budget& budget, std::size_t max_bytes);

    buffered_body(const buffered_body&) = delete;
    buffered_body& operator=(const buffered_body&) = delete;
    buffered_body(buffered_body&& other) noexcept;
    buffered_body& operator=(buffered_body&& other) noexcept;
    ~buffered_body();

    /// Appends bytes.
    /// @param bytes the bytes.
    /// @return false, without a change, when a limit would be exceeded.
    bool append(std::string_view bytes);

    /// @return the bytes received so far.
    const std::string& text() const { return m_text; }

    /// Removes the bytes and releases their memory from the budget.
    /// @return the bytes.
    std::string take();

private:
    buffer_budget* m_budget = nullptr; ///< Null for a body that accepts no bytes.
    std::size_t m_max_bytes = 0;
    std::string m_text;
};

} // namespace galenaroad
