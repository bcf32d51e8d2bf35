#include "fleet/packed_accounts.h"

#include <algorithm>
#include <cmath>
#include <cstring>
#include <limits>
#include <string>

namespace galenaroad {

namespace {

// A vector that doubles when it grows leaves a quarter of its memory unused on average.
constexpr std::size_t growth_divisor = 8;
// Greater sizes take further bytes.
constexpr std::uint8_t max_short_size = 254;
constexpr std::uint8_t long_size = 255;

enum account_flag : std::uint8_t {
    has_priority = 1,
    has_quota = 2,
    has_integer_quota = 4,
};

template <typename Value>
void reserve_more(std::vector<Value>& values, std::size_t added)
{
    const auto needed = values.size() + added;
    if (needed > values.capacity()) {
        values.reserve(needed + needed / growth_divisor);
    }
}

template <typename Value>
void append(std::string& bytes, const Value& value)
{
    bytes.append(reinterpret_cast<const char*>(&value), sizeof(value));
}

void append_size(std::string& bytes, std::size_t size)
{
    if (size <= max_short_size) {
        append(bytes, static_cast<std::uint8_t>(size));
        return;
    }
    append(bytes, long_size);
    append(bytes, static_cast<std::uint32_t>(size));
}

/// Reads values in the order in which they were appended.
class value_reader {
public:
    explicit value_reader(std::string_view bytes) : m_bytes(bytes) {}

    template <typename Value>
    Value next()
    {
        Value value{};
        std::memcpy(&value, next_bytes(sizeof(value)).data(), sizeof(value));
        return value;
    }

    std::size_t next_size()
    {
        const auto size = next<std::uint8_t>();
        return size == long_size ? next<std::uint32_t>() : size;
    }

    std::string_view next_bytes(std::size_t size)
    {
        const auto found = m_bytes.substr(0, size);
        m_bytes.remove_prefix(size);
        return found;
    }

    std::string_view rest() const { return m_bytes; }

private:
    std::string_view m_bytes;
};

bool is_integer(double value)
{
    return value >= 0 && value <= std::numeric_limits<std::uint32_t>::max() &&
           std::floor(value) == value;
}

template <typename Number>
void append_quota(std::string& bytes, const account_quota& quota)
{
    append(bytes, static_cast<Number>(quota.rate));
    append(bytes, static_cast<Number>(quota.burst));
}

template <typename Number>
account_quota read_quota(value_reader& reader)
{
    account_quota quota;
    quota.rate = static_cast<double>(reader.next<Number>());
    quota.burst = static_cast<double>(reader.next<Number>());
    return quota;
}

// The bytes stay within the process, so that numbers have the machine's byte order.
std::string pack(const client_account& account)
{
    const auto& quota = account.quota;
    std::uint8_t flags = account.priority ? has_priority : 0;
    if (quota.rate != 0 || quota.burst != 0) {
        const bool has_integers = is_integer(quota.rate) && is_integer(quota.burst);
        flags |= has_quota | (has_integers ? has_integer_quota : 0);
    }
    std::string bytes;
    append_size(bytes, account.name.size());
    bytes += account.name;
    append(bytes, flags);
    if (account.priority) {
        append(bytes, *account.priority);
    }
    if ((flags & has_integer_quota) != 0) {
        append_quota<std::uint32_t>(bytes, quota);
    }
    else if ((flags & has_quota) != 0) {
        append_quota<double>(bytes, quota);
    }
    append_size(bytes, account.keys.size());
    for (const auto& key : account.keys) {
        bytes += key.bytes();
    }
    return bytes;
}

client_account unpack(value_reader& reader)
{
    client_account account;
    account.name = std::string(reader.next_bytes(reader.next_size()));
    const auto flags = reader.next<std::uint8_t>();
    if ((flags & has_priority) != 0) {
        account.priority = reader.next<int>();
    }
    if ((flags & has_integer_quota) != 0) {
        account.quota = read_quota<std::uint32_t>(reader);
    }
    else if ((flags & has_quota) != 0) {
        account.quota = read_quota<double>(reader);
    }
    const auto key_count = reader.next_size();
    account.keys.reserve(key_count);
    for (std::size_t each = 0; each < key_count; ++each) {
        account.keys.push_back(api_key_digest::from_bytes(reader.next_bytes(api_key_digest::size)));
    }
    return account;
}

} // namespace

void packed_accounts::add(std::uint32_t hash, const client_account& account)
{
    const auto bytes = pack(account);
    const auto index = static_cast<std::ptrdiff_t>(first_with(hash));
    reserve_more(m_entries, 1);
    m_entries.insert(m_entries.begin() + index, {hash, static_cast<std::uint32_t>(m_bytes.size())});
    reserve_more(m_bytes, bytes.size());
    m_bytes.insert(m_bytes.end(), bytes.begin(), bytes.end());
}

void packed_accounts::remove(std::uint32_t hash, std::string_view name)
{
    const auto index = index_of(hash, name);
    if (!index) {
        return;
    }
    const auto offset = m_entries[*index].offset;
    value_reader reader(bytes_from(*index));
    const auto before = reader.rest().size();
    unpack(reader);
    const auto size = before - reader.rest().size();
    const auto first = m_bytes.begin() + static_cast<std::ptrdiff_t>(offset);
    m_bytes.erase(first, first + static_cast<std::ptrdiff_t>(size));
    m_entries.erase(m_entries.begin() + static_cast<std::ptrdiff_t>(*index));
    for (auto& each : m_entries) {
        if (each.offset > offset) {
            each.offset -= static_cast<std::uint32_t>(size);
        }
    }
}

std::optional<client_account> packed_accounts::find(std::uint32_t hash, std::string_view name) const
{
    const auto index = index_of(hash, name);
    return index ? std::optional(account_at(*index)) : std::nullopt;
}

bool packed_accounts::holds(std::uint32_t hash, const client_account& account) const
{
    const auto index = index_of(hash, account.name);
    if (!index) {
        return false;
    }
    const auto bytes = pack(account);
    return bytes_from(*index).substr(0, bytes.size()) == bytes;
}

std::size_t packed_accounts::first_with(std::uint32_t hash) const
{
    const auto found =
        std::lower_bound(m_entries.begin(), m_entries.end(), hash,
                         [](const entry& each, std::uint32_t value) { return each.hash < value; });
    return static_cast<std::size_t>(found - m_entries.begin());
}

std::optional<std::size_t> packed_accounts::index_of(std::uint32_t hash,
                                                     std::string_view name) const
{
    for (auto each = first_with(hash); each < m_entries.size() && m_entries[each].hash == hash;
         ++each) {
        value_reader reader(bytes_from(each));
        if (reader.next_bytes(reader.next_size()) == name) {
            return each;
        }
    }
    return {};
}

std::string_view packed_accounts::bytes_from(std::size_t index) const
{
    return std::string_view(m_bytes.data(), m_bytes.size()).substr(m_entries[index].offset);
}

client_account packed_accounts::account_at(std::size_t index) const
{
    value_reader reader(bytes_from(index));
    return unpack(reader);
}

} // namespace galenaroad
