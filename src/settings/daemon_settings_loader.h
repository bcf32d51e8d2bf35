#pragma once

#include "settings/daemon_settings.h"
#include "settings/source_error.h"

#include <string>

namespace galenaroad {

class yaml_section;

/// Reads a daemon's settings from YAML and reports all errors with their positions.
class daemon_settings_loader {
public:
    /// Reads settings from a file.
    /// @param path the file's path.
    /// @return the settings, or all errors.
    static load_result<daemon_settings> load_file(const std::string& path);

    /// Reads settings from a text.
    /// @param file the file name shown in errors.
    /// @param text the YAML text.
    /// @return the settings, or all errors.
    static load_result<daemon_settings> load_text(const std::string& file, const std::string& text);

private:
    static void read_root(yaml_section& root, daemon_settings& settings);
    static void read_join_ranges(yaml_section& root, daemon_settings& settings);
    static void read_workers(yaml_section& section, worker_limits& limits);
};

} // namespace galenaroad
