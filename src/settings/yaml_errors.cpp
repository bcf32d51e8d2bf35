#include "settings/yaml_errors.h"

#include <algorithm>
#include <tuple>

namespace galenaroad {

void yaml_errors::add(const YAML::Mark& mark, std::string message)
{
    const int line = mark.is_null() ? 1 : mark.line + 1;
    const int column = mark.is_null() ? 1 : mark.column + 1;
    m_errors.push_back({m_file, line, column, std::move(message)});
}

std::vector<source_error> yaml_errors::sorted() const
{
    auto errors = m_errors;
    std::stable_sort(errors.begin(), errors.end(), [](const auto& left, const auto& right) {
        return std::tie(left.line, left.column) < std::tie(right.line, right.column);
    });
    return errors;
}

} // namespace galenaroad
