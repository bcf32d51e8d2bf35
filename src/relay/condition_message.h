#pragma once

#include "relay/condition_news.h"
#include "relay/service_pressure.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace galenaroad {

/// What one daemon tells the others of its data centre.
struct condition_report {
    request_ends ends; ///< Requests of the sender.
    std::vector<condition_item> items;
};

/// Serializes condition reports for one datagram between daemons, as CBOR.
class condition_message {
public:
    /// Longest message that is sent or read, in bytes.
    static constexpr std::size_t max_bytes = 1400;

    /// @param report the report, with at most condition_news::max_items conditions.
    /// @return the message.
    static std::string encode(const condition_report& report);

    /// @param bytes a message, or anything else.
    /// @return the report, or nothing when the bytes are no message.
    static std::optional<condition_report> decode(std::string_view bytes);
};

} // namespace galenaroad
