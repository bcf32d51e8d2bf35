#pragma once

#include "relay/condition_news.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace galenaroad {

/// Serializes the conditions of owners for one datagram between daemons, as CBOR.
class condition_message {
public:
    /// Longest message that is sent or read, in bytes.
    static constexpr std::size_t max_bytes = 1400;

    /// @param items the conditions, at most condition_news::max_items.
    /// @return the message.
    static std::string encode(const std::vector<condition_item>& items);

    /// @param bytes a message, or anything else.
    /// @return the conditions, or nothing when the bytes are no message.
    static std::optional<std::vector<condition_item>> decode(std::string_view bytes);
};

} // namespace galenaroad
