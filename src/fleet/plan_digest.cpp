#include "fleet/plan_digest.h"

#include <cstring>
#include <string_view>
#include <xxhash.h>

namespace galenaroad {

namespace {

/// Collects the fields of a part. Each field has a defined length, so that different parts never
/// give the same bytes.
class field_collector {
public:
    field_collector& add(std::uint64_t value)
    {
        for (std::size_t byte = 0; byte < sizeof(value); ++byte) {
            m_bytes.push_back(static_cast<char>(value >> (8U * byte)));
        }
        return *this;
    }

    field_collector& add(std::string_view text)
    {
        add(std::uint64_t{text.size()});
        m_bytes += text;
        return *this;
    }

    field_collector& add(std::chrono::milliseconds time)
    {
        return add(static_cast<std::uint64_t>(time.count()));
    }

    field_collector& add_number(double value)
    {
        std::uint64_t bits = 0;
        std::memcpy(&bits, &value, sizeof(bits));
        return add(bits);
    }

    std::uint64_t digest() const { return XXH3_64bits(m_bytes.data(), m_bytes.size()); }

private:
    std::string m_bytes;
};

} // namespace

std::uint64_t plan_digest::of(const route_rule& rule)
{
    field_collector fields;
    fields.add(rule.name).add(rule.host).add(rule.prefix);
    fields.add(static_cast<std::uint64_t>(rule.kind)).add(rule.timeout).add(rule.latency_objective);
    fields.add(static_cast<std::uint64_t>(rule.max_attempts));
    fields.add(static_cast<std::uint64_t>(rule.priority));
    for (const auto& target : rule.targets) {
        fields.add(target.service).add_number(target.weight);
    }
    if (rule.is_public) {
        fields.add(std::uint64_t{rule.is_public});
    }
    return fields.digest();
}

std::uint64_t plan_digest::of(const std::string& name, const service_rule& rule)
{
    return field_collector()
        .add(name)
        .add(rule.health_path)
        .add(static_cast<std::uint64_t>(rule.max_connections))
        .digest();
}

std::uint64_t plan_digest::of(const client_account& account)
{
    field_collector fields;
    fields.add(account.name);
    fields.add(std::uint64_t{account.priority.has_value()});
    fields.add(static_cast<std::uint64_t>(account.priority.value_or(0)));
    fields.add_number(account.quota.rate).add_number(account.quota.burst);
    for (const auto& key : account.keys) {
        fields.add(key.bytes());
    }
    return fields.digest();
}

std::uint64_t plan_digest::of(const plan_properties& properties)
{
    field_collector fields;
    fields.add(std::uint64_t{properties.limits.max_head_bytes})
        .add(properties.limits.max_body_bytes)
        .add(properties.limits.head_timeout)
        .add(properties.limits.idle_timeout)
        .add(std::uint64_t{properties.error_count})
        .add(std::uint64_t{properties.has_all_routes})
        .add(std::uint64_t{properties.has_all_services});
    if (properties.has_accounts || !properties.has_all_accounts) {
        fields.add(std::uint64_t{properties.has_accounts})
            .add(std::uint64_t{properties.has_all_accounts});
    }
    return fields.digest();
}

} // namespace galenaroad
