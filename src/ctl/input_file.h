#pragma once

#include "ctl/ctl_report.h"
#include "model/contract.h"
#include "settings/daemon_settings.h"
#include "settings/sheet.h"

#include <string>
#include <tl/expected.hpp>
#include <variant>

namespace galenaroad {

/// A file that an operator passes to galenaroadctl, recognised by its content.
using input_file = std::variant<daemon_settings, contract, sheet>;

/// Reads and checks a file. Files that end in `.csv` are sheets, YAML files with the key `business`
/// are declarations, and other files are settings.
/// @param path the file's path.
/// @return its content, or the report of its faults.
tl::expected<input_file, ctl_report> read_input_file(const std::string& path);

} // namespace galenaroad
