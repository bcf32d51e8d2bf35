#pragma once

#include "settings/yaml_errors.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>
#include <yaml-cpp/yaml.h>

namespace galenaroad {

/// Range of allowed numbers, both limits included.
struct number_range {
    std::int64_t min;
    std::int64_t max;
};

/// Reads the members of one YAML mapping, and reports unknown members as errors.
///
/// When a member is absent, the output is left unchanged. A value of the wrong type or out of range
/// is added as an error, and reading continues so that all errors are reported together.
class yaml_section {
public:
    /// @param node the mapping; another type of node is added as an error.
    /// @param name the name of the section in error messages.
    /// @param errors the collected errors; must outlive the section.
    yaml_section(const YAML::Node& node, std::string name, yaml_errors& errors);

    /// Requires members to be present.
    /// @param keys the names of the members.
    void require(const std::vector<std::string>& keys);

    /// Reads a non-empty text.
    void text(const std::string& key, std::string& output);

    /// Reads a list of non-empty texts.
    void texts(const std::string& key, std::vector<std::string>& output);

    /// Reads a whole number within a range.
    void number(const std::string& key, std::int64_t& output, number_range range);

    /// Reads a whole number within a range into an int.
    void number(const std::string& key, int& output, number_range range);

    /// Reads a duration in whole milliseconds within a range.
    void milliseconds(const std::string& key, std::chrono::milliseconds& output,
                      number_range range);

    /// Reads `true` or `false`.
    void boolean(const std::string& key, bool& output);

    /// Reads one of a closed list of names.
    /// @param names the names; the output is the index of the name that was read.
    void choice(const std::string& key, int& output, const std::vector<std::string>& names);

    /// Reads a text and validates it.
    /// @param check returns an error message, or an empty text when the text is valid.
    void checked_text(const std::string& key, std::string& output,
                      const std::function<std::string(const std::string&)>& check);

    /// Reads a nested mapping.
    /// @param read called when the member is present; unknown keys are reported afterwards.
    void section(const std::string& key, const std::function<void(yaml_section&)>& read);

    /// Reads a list of mappings.
    /// @param read called for each mapping; its unknown keys are reported afterwards.
    void sections(const std::string& key, const std::function<void(yaml_section&)>& read);

    /// Adds errors for members that were not read and for members that occur twice.
    void finish();

    /// Adds an error at a member, or at the section when it has no such member.
    void add_error(const std::string& key, const std::string& message);

    /// @return the collected errors, for checks that span sections.
    yaml_errors& errors() { return m_errors; }

    /// @return the position of the section.
    YAML::Mark mark() const { return m_node.Mark(); }

    /// @return the position of a member's value, or of the section when it has no such member.
    YAML::Mark mark(const std::string& key) const;

private:
    YAML::Node find(const std::string& key);
    bool scalar(const std::string& key, std::string& output);

    YAML::Node m_node;
    std::string m_name;
    yaml_errors& m_errors;
    std::vector<std::string> m_known;
    bool m_is_map;
};

/// Reads a YAML text as one section.
/// @param file the file's name, as shown in errors.
/// @param text the YAML text.
/// @param read reads the members of the outermost mapping.
/// @return all errors, sorted by position.
std::vector<source_error> read_yaml(const std::string& file, const std::string& text,
                                    const std::function<void(yaml_section&)>& read);

/// Reads a whole file.
/// @param path the file's path.
/// @return its content, or one error with the file's name.
load_result<std::string> read_file(const std::string& path);

} // namespace galenaroad
