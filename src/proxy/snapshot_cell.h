#pragma once

#include <atomic>
#include <memory>

namespace galenaroad {

/// Holds the latest immutable snapshot. One thread publishes, any thread reads.
template <typename T>
class snapshot_cell {
public:
    /// @return the latest snapshot; never null.
    std::shared_ptr<const T> load() const { return std::atomic_load(&m_value); }

    /// Replaces the snapshot.
    /// @param value the new one; not null.
    void publish(std::shared_ptr<const T> value) { std::atomic_store(&m_value, std::move(value)); }

private:
    std::shared_ptr<const T> m_value = std::make_shared<const T>();
};

} // namespace galenaroad
