#pragma once

#include "accounts/quota_client.h"
#include "relay/entry_error.h"
#include "relay/relay_context.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace galenaroad {

/// The step of a client request in which it gets a token of its account, and the token.
class entry_quota {
public:
    /// Called with the error to respond with, or nothing when the request may run.
    using decision_handler = std::function<void(const std::optional<entry_error>&)>;

    /// Asks for a token.
    /// @param context shared state; must outlive the request.
    /// @param account name of the account.
    /// @param owner the object that contains this one. Once it has expired, a token that is granted
    /// is returned.
    /// @param on_decided called once, possibly at once.
    void request(relay_context& context, const std::string& account,
                 const std::weak_ptr<void>& owner, const decision_handler& on_decided);

    /// Returns the token, if there is one, because the request has not run and will not run.
    void give_back(relay_context& context);

    /// @return how it was decided, for logs; empty without a decision.
    log_fields fields() const;

private:
    std::string m_account;
    std::optional<quota_verdict> m_verdict;
};

} // namespace galenaroad
