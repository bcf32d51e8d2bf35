#pragma once

#include <chrono>
#include <optional>
#include <string_view>

namespace galenaroad {

/// A response of the entry itself, in place of an upstream's.
struct entry_error {
    int status = 0;
    std::string_view reason; ///< Name in logs; valid for the life of the process.
    /// Time after which the client may retry; nothing to derive it from the state of the owners.
    std::optional<std::chrono::milliseconds> retry_after;
};

} // namespace galenaroad
