#include "fleet/account_index.h"

#include "fleet/plan_digest.h"

#include <algorithm>

namespace galenaroad {

account_index::account_ptr account_index::find(std::string_view name) const
{
    const auto* const found = m_accounts.find(name);
    return found == nullptr ? nullptr : found->account;
}

account_index::account_ptr account_index::find_by_key(const api_key_digest& key) const
{
    const auto* const claim = m_claims.find(key.bytes());
    return claim == nullptr || claim->names.size() != 1 ? nullptr : find(claim->names.front());
}

std::uint64_t account_index::digest_of(std::string_view name) const
{
    const auto* const found = m_accounts.find(name);
    return found == nullptr ? 0 : found->digest;
}

void account_index::set(const client_account& account)
{
    erase(account.name);
    auto added = std::make_shared<indexed_account>();
    added->account = std::make_shared<const client_account>(account);
    added->digest = plan_digest::of(account);
    m_digest += added->digest;
    m_accounts.set(added->account->name, added);
    for (const auto& key : account.keys) {
        add_claim(key, account.name);
    }
}

void account_index::erase(const std::string& name)
{
    const auto* const held = m_accounts.find(name);
    if (held == nullptr) {
        return;
    }
    m_digest -= held->digest;
    for (const auto& key : held->account->keys) {
        remove_claim(key, name);
    }
    m_accounts.erase(name);
}

void account_index::add_claim(const api_key_digest& key, const std::string& name)
{
    auto claim = std::make_shared<key_claim>();
    if (const auto* const held = m_claims.find(key.bytes())) {
        *claim = *held;
    }
    claim->key = key;
    const bool is_repeated =
        std::find(claim->names.begin(), claim->names.end(), name) != claim->names.end();
    if (!is_repeated) {
        claim->names.push_back(name);
        m_claims.set(claim->key.bytes(), claim);
    }
}

void account_index::remove_claim(const api_key_digest& key, const std::string& name)
{
    const auto* const held = m_claims.find(key.bytes());
    if (held == nullptr) {
        return;
    }
    auto claim = std::make_shared<key_claim>(*held);
    claim->names.erase(std::remove(claim->names.begin(), claim->names.end(), name),
                       claim->names.end());
    if (claim->names.empty()) {
        m_claims.erase(key.bytes());
    }
    else {
        m_claims.set(claim->key.bytes(), claim);
    }
}

} // namespace galenaroad
