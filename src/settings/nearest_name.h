#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace galenaroad {

/// Counts the single-character edits that turn one text into another.
/// @param left one text.
/// @param right the other text.
/// @return the Levenshtein distance in bytes.
std::size_t edit_distance(std::string_view left, std::string_view right);

/// Finds the known name that a misspelled name most likely stands for.
/// @param name the unknown name.
/// @param known the known names.
/// @return the nearest known name, or an empty text when there are no known names.
std::string nearest_name(std::string_view name, const std::vector<std::string>& known);

} // namespace galenaroad
