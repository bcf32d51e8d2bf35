#pragma once

#include <string_view>

namespace galenaroad {

/// Why a request cannot be attributed to a client account.
enum class identity_error {
    no_key,         ///< It has no `Authorization` field.
    several_keys,   ///< It has more than one `Authorization` field.
    other_scheme,   ///< The scheme of the field is not `Bearer`.
    malformed_key,  ///< The key is empty, too long, or has characters that no key has.
    unknown_key,    ///< No account has the key.
    unverified_key, ///< No account has the key, but the plan may be out of date or incomplete.
};

/// @return the error's name in logs and metrics.
std::string_view identity_error_name(identity_error error);

/// @return true when the same request may be accepted later, without a change by the client.
bool is_temporary(identity_error error);

} // namespace galenaroad
