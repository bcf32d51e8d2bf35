#pragma once

#include "settings/source_error.h"

#include <string>
#include <utility>
#include <vector>
#include <yaml-cpp/yaml.h>

namespace galenaroad {

/// Collects the faults of one YAML file.
class yaml_errors {
public:
    /// @param file the file's name, as shown in errors.
    explicit yaml_errors(std::string file) : m_file(std::move(file)) {}

    /// Records a fault.
    /// @param mark the place; the start of the file when it is null.
    /// @param message what is wrong.
    void add(const YAML::Mark& mark, std::string message);

    /// @return the faults in the order of their places.
    std::vector<source_error> sorted() const;

    /// @return true when no fault was recorded.
    bool empty() const { return m_errors.empty(); }

private:
    std::string m_file;
    std::vector<source_error> m_errors;
};

} // namespace galenaroad
