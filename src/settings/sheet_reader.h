#pragma once

#include "settings/sheet.h"
#include "settings/source_error.h"

#include <string>

namespace galenaroad {

/// Reads the sheet that a business's planners export every morning.
///
/// A sheet with any error is refused as a whole; all errors are reported with line and column.
/// Columns: `date;business;service;floor_slots;policy;max_timeout_s`. The last row is
/// `end;<number of rows>`, by which a truncated file is detected.
class sheet_reader {
public:
    /// Reads a sheet from a file.
    /// @param path the file's path.
    /// @return the sheet, or all errors.
    static load_result<sheet> load_file(const std::string& path);

    /// Reads a sheet from a text.
    /// @param file the file name shown in errors.
    /// @param text the CSV text.
    /// @return the sheet, or all errors.
    static load_result<sheet> load_text(const std::string& file, const std::string& text);
};

} // namespace galenaroad
