#include "net/header_rules.h"

#include <Poco/String.h>
#include <Poco/StringTokenizer.h>
#include <algorithm>
#include <array>
#include <cctype>

namespace galenaroad {

namespace {

constexpr std::array<std::string_view, 18> fields_not_forwarded{
    "Connection",
    "Keep-Alive",
    "Proxy-Connection",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
    "Proxy-Authenticate",
    "Proxy-Authorization",
    "Content-Length",
    "Expect",
    "traceparent",
    "tracestate",
    "X-Call-Depth",
    "X-Request-Timeout-Ms",
    "X-Retry-Budget",
    "X-Request-Id",
    "HTTP2-Settings",
};

using name_list = std::vector<std::string>;

name_list connection_options(const Poco::Net::MessageHeader& message)
{
    name_list names;
    for (const auto& [name, value] : message) {
        if (!header_rules::same_name(name, "Connection")) {
            continue;
        }
        const Poco::StringTokenizer tokens(value, ",", Poco::StringTokenizer::TOK_TRIM);
        names.insert(names.end(), tokens.begin(), tokens.end());
    }
    return names;
}

template <typename Names>
bool contains(const Names& names, const std::string& name)
{
    return std::any_of(names.begin(), names.end(),
                       [&](const auto& each) { return header_rules::same_name(each, name); });
}

} // namespace

header_list header_rules::forwarded_fields(const Poco::Net::MessageHeader& message)
{
    const auto options = connection_options(message);
    header_list fields;
    for (const auto& [name, value] : message) {
        if (!contains(fields_not_forwarded, name) && !contains(options, name)) {
            fields.push_back({name, value});
        }
    }
    return fields;
}

bool header_rules::is_valid_name(std::string_view name)
{
    constexpr std::string_view token_symbols = "!#$%&'*+-.^_`|~";
    return !name.empty() && std::all_of(name.begin(), name.end(), [&](char c) {
        return std::isalnum(static_cast<unsigned char>(c)) != 0 ||
               token_symbols.find(c) != std::string_view::npos;
    });
}

bool header_rules::is_valid_value(std::string_view value)
{
    return std::none_of(value.begin(), value.end(), [](char c) {
        return (static_cast<unsigned char>(c) < 0x20 && c != '\t') || c == 0x7f;
    });
}

bool header_rules::same_name(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && Poco::icompare(std::string(a), std::string(b)) == 0;
}

const header_field* header_rules::find(const header_list& fields, std::string_view name)
{
    const auto found = std::find_if(fields.begin(), fields.end(),
                                    [&](const auto& field) { return same_name(field.name, name); });
    return found == fields.end() ? nullptr : &*found;
}

} // namespace galenaroad
