#pragma once

#include "base/error_kind.h"
#include "settings/source_error.h"

#include <nlohmann/json.hpp>
#include <ostream>
#include <string>
#include <vector>

namespace galenaroad {

/// Outcome of a command, printed as text or JSON.
struct ctl_report {
    error_kind kind = error_kind::ok;
    std::vector<std::string> lines;                                 ///< Text for the operator.
    nlohmann::ordered_json data = nlohmann::ordered_json::object(); ///< The same for programs.

    /// Reports a failure.
    /// @param kind the error kind, which sets the exit code.
    /// @param detail what failed, or an empty text.
    /// @return the report.
    static ctl_report failed(error_kind kind, const std::string& detail);

    /// Reports faults in input files.
    /// @param kind the error kind.
    /// @param errors the faults.
    /// @return the report.
    static ctl_report invalid(error_kind kind, const std::vector<source_error>& errors);

    /// @return the exit code of the program.
    int exit_code() const { return answer_for(kind).exit_code; }

    /// Prints the report.
    /// @param as_json whether to print one JSON object in place of text.
    /// @param output stream for results, and for all JSON.
    /// @param errors stream for the text of failures.
    void print(bool as_json, std::ostream& output, std::ostream& errors) const;
};

} // namespace galenaroad
