#pragma once

#include <system_error>
#include <tl/expected.hpp>

namespace galenaroad {

/// A value, or the error that took its place.
template <typename T>
using result = tl::expected<T, std::error_code>;

} // namespace galenaroad
