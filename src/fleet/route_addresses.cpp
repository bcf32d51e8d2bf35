#include "fleet/route_addresses.h"

#include <Poco/Ascii.h>
#include <Poco/String.h>
#include <algorithm>
#include <string>
#include <xxhash.h>

namespace galenaroad {

namespace {

bool is_same_host(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](char first, char second) {
        return Poco::Ascii::toLower(first) == Poco::Ascii::toLower(second);
    });
}

} // namespace

void route_addresses::add(const route_rule& rule)
{
    const auto hash = hash_of(rule.host, rule.prefix);
    auto& entries = m_parts.writable(hash % part_count);
    entries.insert(first_with(entries, hash), {hash, &rule});
}

void route_addresses::remove(const route_rule& rule)
{
    const auto hash = hash_of(rule.host, rule.prefix);
    auto& entries = m_parts.writable(hash % part_count);
    entries.erase(std::remove_if(entries.begin(), entries.end(),
                                 [&](const entry& each) { return each.rule == &rule; }),
                  entries.end());
}

const route_rule* route_addresses::find(std::string_view host, std::string_view prefix) const
{
    const auto hash = hash_of(host, prefix);
    const auto* const entries = m_parts.find(hash % part_count);
    if (entries == nullptr) {
        return nullptr;
    }
    const route_rule* found = nullptr;
    for (auto each = first_with(*entries, hash); each != entries->end() && each->hash == hash;
         ++each) {
        const auto& rule = *each->rule;
        const bool has_address = rule.prefix == prefix && is_same_host(rule.host, host);
        if (has_address && (found == nullptr || found->name < rule.name)) {
            found = &rule;
        }
    }
    return found;
}

std::uint32_t route_addresses::hash_of(std::string_view host, std::string_view prefix)
{
    auto address = Poco::toLower(std::string(host));
    address += prefix;
    return static_cast<std::uint32_t>(XXH3_64bits(address.data(), address.size()));
}

route_addresses::part::const_iterator route_addresses::first_with(const part& entries,
                                                                  std::uint32_t hash)
{
    return std::lower_bound(
        entries.begin(), entries.end(), hash,
        [](const entry& each, std::uint32_t value) { return each.hash < value; });
}

} // namespace galenaroad
