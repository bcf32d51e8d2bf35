#include "accounts/identity_error.h"

namespace galenaroad {

std::string_view identity_error_name(identity_error error)
{
    switch (error) {
    case identity_error::no_key:
        return "no_key";
    case identity_error::several_keys:
        return "several_keys";
    case identity_error::other_scheme:
        return "other_scheme";
    case identity_error::malformed_key:
        return "malformed_key";
    case identity_error::unknown_key:
        return "unknown_key";
    case identity_error::unverified_key:
        return "unverified_key";
    }
    return "unknown_key";
}

bool is_temporary(identity_error error)
{
    return error == identity_error::unverified_key;
}

} // namespace galenaroad
