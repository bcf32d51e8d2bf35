#pragma once

#include "base/random_engine.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace galenaroad {

/// Changes valid messages at random, as another version or a foreign writer might write them.
class message_mutator {
public:
    /// @param seed seed of the random changes.
    explicit message_mutator(std::uint64_t seed);

    /// Removes, adds or replaces one value somewhere in the document.
    /// @param value the document.
    /// @return the path of the changed value, with a leading slash, as `/routes/a/kind`.
    std::string change_one(nlohmann::json& value);

    /// Cuts, duplicates or overwrites bytes.
    /// @param text the message.
    /// @return the changed message.
    std::string change_bytes(std::string text);

private:
    nlohmann::json random_value();
    std::size_t random_below(std::size_t bound);

    random_engine m_random;
};

} // namespace galenaroad
