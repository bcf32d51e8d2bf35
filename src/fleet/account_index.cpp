#include "fleet/account_index.h"

#include "fleet/plan_digest.h"

#include <algorithm>
#include <xxhash.h>

namespace galenaroad {

account_index::account_ptr account_index::find(std::string_view name) const
{
    const auto hash = hash_of(name);
    const auto* const part = m_accounts.find(part_of(hash));
    auto found = part == nullptr ? std::nullopt : part->find(hash, name);
    return found ? std::make_shared<const client_account>(std::move(*found)) : nullptr;
}

account_index::account_ptr account_index::find_by_key(const api_key_digest& key) const
{
    account_ptr found;
    bool has_several = false;
    const auto check = [&](client_account account) {
        const auto& keys = account.keys;
        const bool declares_key = std::find(keys.begin(), keys.end(), key) != keys.end();
        if (!declares_key || (found && found->name == account.name)) {
            return;
        }
        has_several = found != nullptr;
        found = std::make_shared<const client_account>(std::move(account));
    };
    if (const auto* const claims = m_claims.find(part_of(key))) {
        claims->for_each(key, [&](std::uint32_t hash) {
            if (has_several) {
                return;
            }
            if (const auto* const part = m_accounts.find(part_of(hash))) {
                part->for_each_with(hash, check);
            }
        });
    }
    return has_several ? nullptr : found;
}

bool account_index::holds(const client_account& account) const
{
    const auto hash = hash_of(account.name);
    const auto* const part = m_accounts.find(part_of(hash));
    return part != nullptr && part->holds(hash, account);
}

void account_index::set(const client_account& account)
{
    erase(account.name);
    const auto hash = hash_of(account.name);
    m_accounts.writable(part_of(hash)).add(hash, account);
    for (const auto& key : account.keys) {
        m_claims.writable(part_of(key)).add(key, hash);
    }
    m_digest += plan_digest::of(account);
    ++m_size;
}

void account_index::erase(const std::string& name)
{
    const auto held = find(name);
    if (!held) {
        return;
    }
    const auto hash = hash_of(name);
    m_accounts.writable(part_of(hash)).remove(hash, name);
    for (const auto& key : held->keys) {
        m_claims.writable(part_of(key)).remove(key, hash);
    }
    m_digest -= plan_digest::of(*held);
    --m_size;
}

std::uint32_t account_index::hash_of(std::string_view name)
{
    return static_cast<std::uint32_t>(XXH3_64bits(name.data(), name.size()));
}

std::size_t account_index::part_of(std::uint32_t hash)
{
    return hash % part_count;
}

std::size_t account_index::part_of(const api_key_digest& key)
{
    return XXH3_64bits(key.bytes().data(), key.bytes().size()) % part_count;
}

} // namespace galenaroad
