#pragma once

#include "fleet/owner_record.h"

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace galenaroad {

/// Encodes and decodes owner records as JSON, for the store and for messages between daemons.
class owner_record_codec {
public:
    /// @param record the record.
    /// @return one JSON object.
    static std::string encode(const owner_record& record);

    /// @param text a JSON object.
    /// @return the record, or nothing when the text is not a valid record.
    static std::optional<owner_record> decode(std::string_view text);

    /// @param records the records.
    /// @return a JSON array.
    static std::string encode_all(const std::vector<owner_record>& records);

    /// @param list a JSON value, expected to be an array.
    /// @return the valid records; others are left out.
    static std::vector<owner_record> decode_all(const nlohmann::json& list);
};

} // namespace galenaroad
