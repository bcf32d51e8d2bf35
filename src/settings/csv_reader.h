#pragma once

#include "settings/source_error.h"

#include <string>
#include <vector>

namespace galenaroad {

/// One field of a CSV row, with its position in the file.
struct csv_field {
    std::string text;
    int line = 0;   ///< From 1.
    int column = 0; ///< From 1, in characters.
};

/// One row of a CSV file; empty rows are skipped.
using csv_row = std::vector<csv_field>;

/// Splits `;` separated text into rows and fields, and validates that it is UTF-8.
class csv_reader {
public:
    /// Reads a text.
    /// @param file the file name shown in errors.
    /// @param text the text; a byte-order mark at its start is skipped.
    /// @return the rows, or all encoding errors, or the first quoting error.
    static load_result<std::vector<csv_row>> read(const std::string& file, const std::string& text);
};

} // namespace galenaroad
