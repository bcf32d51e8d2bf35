#pragma once

#include <cstddef>

namespace galenaroad {

/// Limit on the total size of all buffers of one purpose, so that their number need not be limited.
class buffer_budget {
public:
    /// @param max_bytes the limit.
    explicit buffer_budget(std::size_t max_bytes) : m_max_bytes(max_bytes) {}
    buffer_budget(const buffer_budget&) = delete;
    buffer_budget& operator=(const buffer_budget&) = delete;
    buffer_budget(buffer_budget&&) = delete;
    buffer_budget& operator=(buffer_budget&&) = delete;
    ~buffer_budget() = default;

    /// Reserves memory.
    /// @param bytes number of bytes.
    /// @return false, without a reservation, when the limit would be exceeded.
    bool reserve(std::size_t bytes);

    /// Releases memory that has been reserved.
    /// @param bytes number of bytes.
    void release(std::size_t bytes) { m_used_bytes -= bytes; }

    /// @return number of reserved bytes.
    std::size_t used() const { return m_used_bytes; }

private:
    std::size_t m_max_bytes;
    std::size_t m_used_bytes = 0;
};

} // namespace galenaroad
