#pragma once

#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace galenaroad {

/// An error in an input file, with its position.
struct source_error {
    std::string file;
    int line = 0;   ///< From 1.
    int column = 0; ///< From 1.
    std::string message;
};

/// The loaded value, or all errors that were found in the input.
template <typename T>
using load_result = tl::expected<T, std::vector<source_error>>;

/// Formats an error as `file:line:column: message`.
/// @param error the error.
/// @return one line of text without a line break.
std::string to_text(const source_error& error);

} // namespace galenaroad
