#pragma once

#include <array>
#include <cstddef>
#include <memory>

namespace galenaroad {

/// A fixed number of parts that copies share until one of them changes a part. Without parts it
/// takes no more memory than a pointer.
template <typename Part, std::size_t Count>
class shared_parts {
public:
    /// @return a part, or null when it has not been written to.
    const Part* find(std::size_t index) const
    {
        return m_parts ? (*m_parts)[index].get() : nullptr;
    }

    /// @return a part that belongs to this copy only.
    Part& writable(std::size_t index)
    {
        if (!m_parts) {
            m_parts = std::make_shared<part_array>();
        }
        else if (m_parts.use_count() > 1) {
            m_parts = std::make_shared<part_array>(*m_parts);
        }
        auto& part = (*m_parts)[index];
        if (!part) {
            part = std::make_shared<Part>();
        }
        else if (part.use_count() > 1) {
            part = std::make_shared<Part>(*part);
        }
        return *part;
    }

    /// Calls a function with each part that has been written to.
    template <typename Function>
    void for_each(Function function) const
    {
        for (std::size_t index = 0; m_parts && index < Count; ++index) {
            if (const auto* const part = find(index)) {
                function(*part);
            }
        }
    }

private:
    using part_array = std::array<std::shared_ptr<Part>, Count>;

    std::shared_ptr<part_array> m_parts;
};

} // namespace galenaroad
