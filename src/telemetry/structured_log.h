#pragma once

#include "base/clock.h"
#include "base/log_level.h"

#include <string>
#include <utility>
#include <vector>

namespace galenaroad {

/// Further members of a log entry.
using log_fields = std::vector<std::pair<std::string, std::string>>;

/// One log entry.
struct log_entry {
    log_level level = log_level::info;
    std::string message;
    std::string request_id; ///< Empty outside requests.
    std::string trace_id;   ///< Empty outside requests.
    log_fields fields;
    system_time at{}; ///< When it happened; the time of writing when not set.
};

/// Log of the process: one JSON object a line on standard output.
class structured_log {
public:
    /// Configures the log. Call once, before the first entry.
    /// @param program name of the program.
    /// @param instance name of the instance; may be empty.
    /// @param least least severe entries that are written.
    static void configure(std::string program, std::string instance, log_level least);

    /// Writes an entry.
    /// @param entry the entry.
    static void write(const log_entry& entry);

    /// Writes a debug entry.
    static void debug(const std::string& message, const log_fields& fields = {});

    /// Writes an informational entry.
    static void info(const std::string& message, const log_fields& fields = {});

    /// Writes a warning.
    static void warning(const std::string& message, const log_fields& fields = {});

    /// Writes an error.
    static void error(const std::string& message, const log_fields& fields = {});

    /// Formats an entry.
    /// @param entry the entry.
    /// @param now the wall-clock time.
    /// @return one line of JSON without a line break.
    static std::string format(const log_entry& entry, system_time now);
};

} // namespace galenaroad
