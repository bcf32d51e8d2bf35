#pragma once

#include "accounts/holder_authority.h"
#include "accounts/quota_message.h"
#include "accounts/quota_tolerance.h"
#include "accounts/token_bucket.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace galenaroad {

/// Answers the questions of all daemons for tokens of the accounts that this daemon holds.
class quota_holder {
public:
    struct hooks {
        /// @return the quota of an account by the plan in force; nothing when it is not known.
        std::function<std::optional<account_quota>(const std::string& account)> quota;
        holder_authority::inquiries ask;
    };

    /// @param authority decides which accounts this daemon holds; must outlive the holder.
    /// @param tolerance the tolerance of the fleet.
    quota_holder(const holder_authority& authority, quota_tolerance tolerance, hooks hooks);

    /// Answers a question. A question that comes again gets the same answer.
    /// @param question the question.
    /// @return the answer; nothing when the question is older than one that was answered.
    std::optional<quota_answer> answer(const quota_question& question, steady_time now);

    /// @return number of accounts whose state is kept.
    std::size_t account_count() const { return m_accounts.size(); }

private:
    /// The latest question of a daemon.
    struct answered_question {
        quota_answer answer;
        steady_time at;
    };

    struct account_state {
        token_bucket bucket;
        steady_time holder_since; ///< The bucket was empty then.
        token_bucket deputy_bucket;
        double announced = 0; ///< Future tokens that refused requests were told to wait for.
        steady_time used_at;
        std::map<std::uint32_t, answered_question> answered; ///< By session.
    };

    account_state& state_of(const std::string& account, const account_quota& quota,
                            const holder_authority::right& right, steady_time now);
    void grant(account_state& state, const account_quota& quota,
               const holder_authority::right& right, const quota_question& question,
               quota_answer& answer, steady_time now) const;
    static std::chrono::milliseconds announce_token(account_state& state,
                                                    const account_quota& quota);
    void remove_idle(steady_time now);

    const holder_authority& m_authority;
    quota_tolerance m_tolerance;
    hooks m_hooks;
    std::map<std::string, account_state> m_accounts;
    steady_time m_cleaned_at;
};

} // namespace galenaroad
