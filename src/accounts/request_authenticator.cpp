#include "accounts/request_authenticator.h"

#include "net/header_rules.h"

#include <algorithm>

namespace galenaroad {

namespace {

constexpr std::string_view bearer_scheme = "Bearer";

bool is_authorization(const header_field& field)
{
    return header_rules::same_name(field.name, request_authenticator::field);
}

bool is_valid_key(std::string_view key)
{
    const bool is_printable =
        std::all_of(key.begin(), key.end(), [](char c) { return c > 0x20 && c < 0x7f; });
    return !key.empty() && key.size() <= request_authenticator::max_key_bytes && is_printable;
}

} // namespace

request_authenticator::request_authenticator(const plan_index& plan, plan_state state)
    : m_plan(plan), m_state(state)
{
}

request_authenticator::result request_authenticator::authenticate(const route_rule& rule,
                                                                  const header_list& fields) const
{
    if (!m_plan.properties().has_accounts) {
        return result();
    }
    const auto found = std::find_if(fields.begin(), fields.end(), is_authorization);
    if (found == fields.end()) {
        return rule.is_public ? result() : tl::make_unexpected(identity_error::no_key);
    }
    if (std::any_of(std::next(found), fields.end(), is_authorization)) {
        return tl::make_unexpected(identity_error::several_keys);
    }
    return find_account(found->value);
}

// A key that is presented has to be valid on public routes as well, so that a client whose key has
// been removed learns of it rather than being served without its account.
request_authenticator::result request_authenticator::find_account(std::string_view value) const
{
    const auto scheme = value.substr(0, value.find(' '));
    if (!header_rules::same_name(scheme, bearer_scheme)) {
        return tl::make_unexpected(identity_error::other_scheme);
    }
    auto key = value.substr(scheme.size());
    key.remove_prefix(std::min(key.find_first_not_of(' '), key.size()));
    if (!is_valid_key(key)) {
        return tl::make_unexpected(identity_error::malformed_key);
    }
    if (auto account = m_plan.account_with_key(api_key_digest::of(key))) {
        return account;
    }
    const bool may_exist = m_state == plan_state::outdated || !m_plan.properties().has_all_accounts;
    return tl::make_unexpected(may_exist ? identity_error::unverified_key
                                         : identity_error::unknown_key);
}

} // namespace galenaroad
