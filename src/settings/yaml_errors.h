#pragma once

#include "settings/source_error.h"

#include <string>
#include <utility>
#include <vector>
#include <yaml-cpp/yaml.h>

namespace galenaroad {

/// Collects the errors of one YAML file.
class yaml_errors {
public:
    /// @param file the file's name, as shown in errors.
    explicit yaml_errors(std::string file) : m_file(std::move(file)) {}

    /// Adds an error.
    /// @param mark the position; the start of the file when it is null.
    /// @param message the error message.
    void add(const YAML::Mark& mark, std::string message);

    /// @return the errors, sorted by position.
    std::vector<source_error> sorted() const;

    /// @return true when no error was added.
    bool empty() const { return m_errors.empty(); }

private:
    std::string m_file;
    std::vector<source_error> m_errors;
};

} // namespace galenaroad
