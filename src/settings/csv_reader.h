#pragma once

#include "settings/source_error.h"

#include <string>
#include <vector>

namespace galenaroad {

/// One field of a CSV row, with its place in the file.
struct csv_field {
    std::string text;
    int line = 0;   ///< From 1.
    int column = 0; ///< From 1, in characters.
};

/// One row of a CSV file; rows without any field are left out.
using csv_row = std::vector<csv_field>;

/// Splits `;` separated text into rows and fields, and checks that it is UTF-8.
class csv_reader {
public:
    /// Reads a text.
    /// @param file the name that errors show.
    /// @param text the text; a byte-order mark at its start is left out.
    /// @return the rows, or all faults of encoding or the first of quoting.
    static load_result<std::vector<csv_row>> read(const std::string& file, const std::string& text);
};

} // namespace galenaroad
