#pragma once

#include "accounts/identity_error.h"
#include "fleet/plan_index.h"
#include "net/header_field.h"

#include <memory>
#include <string_view>
#include <tl/expected.hpp>

namespace galenaroad {

/// Whether an unknown key proves that no account has it.
enum class plan_state {
    current,
    outdated, ///< A newer plan may exist that has not arrived.
};

/// Finds the client account of a request by the key that the request carries. Decides on each
/// request anew, so that a key that has been removed does not work on connections that stay open.
class request_authenticator {
public:
    /// The client account, null for a request that needs none, or why the request is refused.
    using result = tl::expected<std::shared_ptr<const client_account>, identity_error>;

    /// Name of the field that carries the key, as `Bearer KEY`.
    static constexpr std::string_view field = "Authorization";
    /// Maximum length of a key, which bounds the cost of its digest.
    static constexpr std::size_t max_key_bytes = 256;

    /// @param plan the plan in force; must outlive the authenticator.
    /// @param state whether the plan may be out of date.
    request_authenticator(const plan_index& plan, plan_state state);

    /// @param rule the request's route.
    /// @param fields the request's header fields.
    /// @return the account, null for a request that needs none, or why the request is refused.
    result authenticate(const route_rule& rule, const header_list& fields) const;

private:
    result find_account(std::string_view value) const;

    const plan_index& m_plan;
    plan_state m_state;
};

} // namespace galenaroad
