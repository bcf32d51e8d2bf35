#pragma once

#include "load/health_report_buffer.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace galenaroad {

/// Encodes and decodes health reports of owners for one datagram between daemons, as CBOR.
class health_report_codec {
public:
    /// Maximum size of a message that is sent or read, in bytes.
    static constexpr std::size_t max_bytes = 1400;

    /// @param items the reports, at most health_report_buffer::max_reports.
    /// @return the message.
    static std::string encode(const std::vector<relayed_report>& reports);

    /// @param bytes a received datagram.
    /// @return the reports, or nothing when the bytes are not a valid message.
    static std::optional<std::vector<relayed_report>> decode(std::string_view bytes);
};

} // namespace galenaroad
