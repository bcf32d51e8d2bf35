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

/// Range that a number must lie in, both ends included.
struct number_range {
    std::int64_t lowest;
    std::int64_t highest;
};

/// Reads the members of one YAML mapping, and refuses members that nobody asked for.
///
/// A value that is absent leaves the output as it is. A value of the wrong type or range is
/// recorded as a fault, and reading goes on so that all faults are reported together.
class yaml_section {
public:
    /// @param node the mapping; another type of node is recorded as a fault.
    /// @param name how errors name the section.
    /// @param errors where faults are recorded; must outlive the section.
    yaml_section(const YAML::Node& node, std::string name, yaml_errors& errors);

    /// Requires members to be present.
    /// @param keys the names of the members.
    void require(const std::vector<std::string>& keys);

    /// Reads a text that is not empty.
    void text(const std::string& key, std::string& output);

    /// Reads a list of texts that are not empty.
    void texts(const std::string& key, std::vector<std::string>& output);

    /// Reads a whole number within a range.
    void number(const std::string& key, std::int64_t& output, number_range range);

    /// Reads a whole number within a range into an int.
    void number(const std::string& key, int& output, number_range range);

    /// Reads a time in whole milliseconds within a range.
    void milliseconds(const std::string& key, std::chrono::milliseconds& output,
                      number_range range);

    /// Reads `true` or `false`.
    void boolean(const std::string& key, bool& output);

    /// Reads one of a closed list of names.
    /// @param names the names; their index is the output.
    void choice(const std::string& key, int& output, const std::vector<std::string>& names);

    /// Reads a text and checks it with a function.
    /// @param check returns what is wrong with the text, or an empty text.
    void checked_text(const std::string& key, std::string& output,
                      const std::function<std::string(const std::string&)>& check);

    /// Reads a mapping inside this one.
    /// @param read called when the member is present; its unknown keys are refused afterwards.
    void section(const std::string& key, const std::function<void(yaml_section&)>& read);

    /// Reads a list of mappings.
    /// @param read called for each mapping; unknown keys are refused afterwards.
    void sections(const std::string& key, const std::function<void(yaml_section&)>& read);

    /// Refuses members that were not asked for and members that occur twice.
    void finish();

    /// Records a fault at a member, or at the section when it has no such member.
    void fault(const std::string& key, const std::string& message);

    /// @return where faults are recorded, for checks that span sections.
    yaml_errors& errors() { return m_errors; }

    /// @return the place of the section.
    YAML::Mark mark() const { return m_node.Mark(); }

    /// @return the place of a member's value, or of the section when it has no such member.
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
/// @return all faults, in the order of their places.
std::vector<source_error> read_yaml(const std::string& file, const std::string& text,
                                    const std::function<void(yaml_section&)>& read);

/// Reads a whole file.
/// @param path the file's path.
/// @return its bytes, or one fault that names the file.
load_result<std::string> read_file(const std::string& path);

} // namespace galenaroad
