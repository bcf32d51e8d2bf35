#include "support/message_mutator.h"

#include <random>

namespace galenaroad {

namespace {

using json = nlohmann::json;

void collect_paths(const json& value, const json::json_pointer& at,
                   std::vector<json::json_pointer>& paths)
{
    if (!at.empty()) {
        paths.push_back(at);
    }
    if (value.is_object()) {
        for (const auto& [key, child] : value.items()) {
            collect_paths(child, at / key, paths);
        }
    }
    if (value.is_array()) {
        for (std::size_t index = 0; index < value.size(); ++index) {
            collect_paths(value[index], at / index, paths);
        }
    }
}

} // namespace

message_mutator::message_mutator(std::uint64_t seed) : m_random(seed) {}

std::string message_mutator::change_one(json& value)
{
    std::vector<json::json_pointer> paths;
    collect_paths(value, json::json_pointer(), paths);
    const auto at = paths[random_below(paths.size())];
    auto& parent = value[at.parent_pointer()];
    const bool removes = random_below(3) == 0;
    if (removes && parent.is_object()) {
        parent.erase(at.back());
    }
    else {
        value[at] = random_value();
    }
    return at.to_string();
}

std::string message_mutator::change_bytes(std::string text)
{
    const auto changes = 1 + random_below(4);
    for (std::size_t change = 0; change < changes && !text.empty(); ++change) {
        const auto at = random_below(text.size());
        const auto size = 1 + random_below(std::min<std::size_t>(text.size() - at, 40));
        switch (random_below(4)) {
        case 0:
            text.resize(at);
            break;
        case 1:
            text.insert(at, text.substr(at, size));
            break;
        case 2:
            text.erase(at, size);
            break;
        default:
            text[at] = static_cast<char>(random_below(256));
            break;
        }
    }
    return text;
}

json message_mutator::random_value()
{
    switch (random_below(10)) {
    case 0:
        return nullptr;
    case 1:
        return random_below(2) == 0;
    case 2:
        return -1;
    case 3:
        return 1e300;
    case 4:
        return "text";
    case 5:
        return "";
    case 6:
        return json::array({1, "x"});
    case 7:
        return json::object({{"a", 1}});
    case 8:
        return 0.5;
    default:
        return std::uint64_t{1} << 63;
    }
}

std::size_t message_mutator::random_below(std::size_t bound)
{
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(m_random);
}

} // namespace galenaroad
