#include "settings/nearest_name.h"

#include <algorithm>
#include <numeric>

namespace galenaroad {

std::size_t edit_distance(std::string_view left, std::string_view right)
{
    std::vector<std::size_t> row(right.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 1; i <= left.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= right.size(); ++j) {
            const std::size_t replaced = diagonal + (left[i - 1] == right[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({row[j] + 1, row[j - 1] + 1, replaced});
        }
    }
    return row.back();
}

std::string nearest_name(std::string_view name, const std::vector<std::string>& known)
{
    const auto nearest = std::min_element(
        known.begin(), known.end(), [&](const std::string& left, const std::string& right) {
            return edit_distance(name, left) < edit_distance(name, right);
        });
    return nearest == known.end() ? std::string() : *nearest;
}

} // namespace galenaroad
