#include "settings/yaml_section.h"

#include "settings/nearest_name.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <set>

namespace galenaroad {

namespace {

std::string quoted(const std::string& text)
{
    return '"' + text + '"';
}

std::string joined(const std::vector<std::string>& names)
{
    std::string text;
    for (const auto& name : names) {
        text += (text.empty() ? "" : ", ") + name;
    }
    return text;
}

} // namespace

yaml_section::yaml_section(const YAML::Node& node, std::string name, yaml_errors& errors)
    : m_node(node), m_name(std::move(name)), m_errors(errors), m_is_map(m_node.IsMap())
{
    if (!m_is_map) {
        m_errors.add(m_node.Mark(), m_name + " must be a mapping of keys to values");
    }
}

YAML::Node yaml_section::find(const std::string& key)
{
    if (std::find(m_known.begin(), m_known.end(), key) == m_known.end()) {
        m_known.push_back(key);
    }
    if (!m_is_map) {
        return YAML::Node(YAML::NodeType::Undefined);
    }
    return std::as_const(m_node)[key];
}

void yaml_section::require(const std::vector<std::string>& keys)
{
    for (const auto& key : keys) {
        if (m_is_map && !find(key).IsDefined()) {
            m_errors.add(mark(), m_name + " has no key " + quoted(key));
        }
    }
}

bool yaml_section::scalar(const std::string& key, std::string& output)
{
    const auto node = find(key);
    if (!node.IsDefined()) {
        return false;
    }
    if (!node.IsScalar() || node.Scalar().empty()) {
        m_errors.add(node.Mark(), quoted(key) + " must be a single value that is not empty");
        return false;
    }
    output = node.Scalar();
    return true;
}

void yaml_section::text(const std::string& key, std::string& output)
{
    scalar(key, output);
}

void yaml_section::texts(const std::string& key, std::vector<std::string>& output)
{
    const auto node = find(key);
    if (!node.IsDefined()) {
        return;
    }
    if (!node.IsSequence()) {
        m_errors.add(node.Mark(), quoted(key) + " must be a list");
        return;
    }
    output.clear();
    for (const auto& item : node) {
        if (!item.IsScalar() || item.Scalar().empty()) {
            m_errors.add(item.Mark(),
                         "each item of " + quoted(key) + " must be a value that is not empty");
            continue;
        }
        output.push_back(item.Scalar());
    }
}

void yaml_section::number(const std::string& key, std::int64_t& output, number_range range)
{
    std::string text;
    if (!scalar(key, text)) {
        return;
    }
    std::int64_t value = 0;
    const bool is_number = YAML::convert<std::int64_t>::decode(YAML::Node(text), value);
    if (!is_number || value < range.min || value > range.max) {
        add_error(key, quoted(key) + " must be a whole number from " + std::to_string(range.min) +
                           " to " + std::to_string(range.max) + ", found " + quoted(text));
        return;
    }
    output = value;
}

void yaml_section::number(const std::string& key, int& output, number_range range)
{
    std::int64_t value = output;
    number(key, value, range);
    output = static_cast<int>(value);
}

void yaml_section::milliseconds(const std::string& key, std::chrono::milliseconds& output,
                                number_range range)
{
    std::int64_t value = output.count();
    number(key, value, range);
    output = std::chrono::milliseconds(value);
}

void yaml_section::boolean(const std::string& key, bool& output)
{
    std::string text;
    if (!scalar(key, text)) {
        return;
    }
    if (text != "true" && text != "false") {
        add_error(key, quoted(key) + " must be true or false, found " + quoted(text));
        return;
    }
    output = text == "true";
}

void yaml_section::choice(const std::string& key, int& output,
                          const std::vector<std::string>& names)
{
    std::string text;
    if (!scalar(key, text)) {
        return;
    }
    const auto found = std::find(names.begin(), names.end(), text);
    if (found == names.end()) {
        add_error(key, quoted(key) + " must be one of " + joined(names) + ", found " +
                           quoted(text) + "; did you mean " + quoted(nearest_name(text, names)) +
                           '?');
        return;
    }
    output = static_cast<int>(std::distance(names.begin(), found));
}

void yaml_section::checked_text(const std::string& key, std::string& output,
                                const std::function<std::string(const std::string&)>& check)
{
    std::string text;
    if (!scalar(key, text)) {
        return;
    }
    const auto error = check(text);
    if (!error.empty()) {
        add_error(key, quoted(key) + ' ' + error + ", found " + quoted(text));
        return;
    }
    output = text;
}

void yaml_section::section(const std::string& key, const std::function<void(yaml_section&)>& read)
{
    const auto node = find(key);
    if (!node.IsDefined()) {
        return;
    }
    yaml_section inner(node, quoted(key), m_errors);
    read(inner);
    inner.finish();
}

void yaml_section::sections(const std::string& key, const std::function<void(yaml_section&)>& read)
{
    const auto node = find(key);
    if (!node.IsDefined()) {
        return;
    }
    if (!node.IsSequence()) {
        m_errors.add(node.Mark(), quoted(key) + " must be a list");
        return;
    }
    for (std::size_t i = 0; i < node.size(); ++i) {
        yaml_section inner(node[i], "each item of " + quoted(key), m_errors);
        read(inner);
        inner.finish();
    }
}

void yaml_section::finish()
{
    if (!m_is_map) {
        return;
    }
    std::set<std::string> seen;
    for (const auto& member : m_node) {
        const auto key = member.first.IsScalar() ? member.first.Scalar() : std::string();
        if (std::find(m_known.begin(), m_known.end(), key) == m_known.end()) {
            m_errors.add(member.first.Mark(), "unknown key " + quoted(key) + "; did you mean " +
                                                  quoted(nearest_name(key, m_known)) + '?');
        }
        else if (!seen.insert(key).second) {
            m_errors.add(member.first.Mark(), "the key " + quoted(key) + " occurs twice");
        }
    }
}

void yaml_section::add_error(const std::string& key, const std::string& message)
{
    m_errors.add(mark(key), message);
}

YAML::Mark yaml_section::mark(const std::string& key) const
{
    if (!m_is_map) {
        return m_node.Mark();
    }
    const YAML::Node node = m_node[key];
    return node.IsDefined() ? node.Mark() : m_node.Mark();
}

std::vector<source_error> read_yaml(const std::string& file, const std::string& text,
                                    const std::function<void(yaml_section&)>& read)
{
    yaml_errors errors(file);
    try {
        yaml_section root(YAML::Load(text), "the file", errors);
        read(root);
        root.finish();
    }
    catch (const YAML::Exception& error) {
        errors.add(error.mark, error.msg);
    }
    return errors.sorted();
}

load_result<std::string> read_file(const std::string& path)
{
    std::ifstream input(path, std::ios::binary);
    std::string text((std::istreambuf_iterator<char>(input)), std::istreambuf_iterator<char>());
    if (!input.is_open() || input.bad()) {
        return tl::make_unexpected(
            std::vector<source_error>{{path, 1, 1, "the file cannot be read"}});
    }
    return text;
}

} // namespace galenaroad
