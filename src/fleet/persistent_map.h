#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>
#include <unordered_map>

namespace galenaroad {

/// Map from texts to shared values that is cheap to copy: copies share their parts until one of
/// them changes a part. A change of a copy costs as much as the parts that it concerns, not as much
/// as the map.
///
/// Keys refer to texts within the values, so that none is stored twice.
template <typename Value>
class persistent_map {
public:
    using value_ptr = std::shared_ptr<const Value>;

    /// @param key the key.
    /// @return the value, or null.
    const Value* find(std::string_view key) const
    {
        const auto& part = m_parts[index_of(key)];
        if (!part) {
            return nullptr;
        }
        const auto found = part->find(key);
        return found == part->end() ? nullptr : found->second.get();
    }

    /// Adds a value or replaces the one with the same key.
    /// @param key a text within the value.
    /// @param value the value.
    void set(std::string_view key, value_ptr value)
    {
        auto& part = writable_part(key);
        // The key of an element refers to its value, so an existing element is not assigned to.
        m_size -= part.erase(key);
        part.emplace(key, std::move(value));
        ++m_size;
    }

    /// Removes a value, if there is one.
    void erase(std::string_view key)
    {
        if (find(key) != nullptr) {
            m_size -= writable_part(key).erase(key);
        }
    }

    /// @return number of values.
    std::size_t size() const { return m_size; }

    /// Calls a function with each value, in no particular order.
    template <typename Function>
    void for_each(Function function) const
    {
        for (const auto& part : m_parts) {
            if (!part) {
                continue;
            }
            for (const auto& [key, value] : *part) {
                function(*value);
            }
        }
    }

private:
    // A change copies the table of parts and one part, which are of similar size with some 80,000
    // values.
    static constexpr std::size_t part_count = 512;

    using part_map = std::unordered_map<std::string_view, value_ptr>;

    static std::size_t index_of(std::string_view key)
    {
        return std::hash<std::string_view>()(key) % part_count;
    }

    part_map& writable_part(std::string_view key)
    {
        auto& part = m_parts[index_of(key)];
        if (!part) {
            part = std::make_shared<part_map>();
        }
        else if (part.use_count() > 1) {
            part = std::make_shared<part_map>(*part);
        }
        return *part;
    }

    std::array<std::shared_ptr<part_map>, part_count> m_parts;
    std::size_t m_size = 0;
};

} // namespace galenaroad
