#pragma once

#include "accounts/holder_members.h"
#include "accounts/quota_message.h"
#include "accounts/quota_tolerance.h"
#include "base/random_engine.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace galenaroad {

/// The way of a question to a daemon.
struct quota_route {
    std::string address; ///< Of the daemon.
    std::string via;     ///< Another daemon that passes it on; empty when it is sent directly.

    friend bool operator<(const quota_route& a, const quota_route& b)
    {
        return std::tie(a.address, a.via) < std::tie(b.address, b.via);
    }
};

/// Whether a request may run under the quota of its account.
struct quota_verdict {
    enum class decision {
        granted,
        over_quota,
        not_known, ///< No daemon that holds the account has responded.
    };

    decision value = decision::not_known;
    std::chrono::milliseconds retry_after{0}; ///< When the request is refused.
    std::string holder;                       ///< Who has decided.
    int tokens = 0;                           ///< Left at the holder.
    std::chrono::milliseconds age{0};         ///< Since the holder was asked.
};

/// Gets tokens for the requests of this entry from the holders of their accounts. There is one
/// question at a time for each account; requests that come in the meantime share the next one.
class quota_client {
public:
    struct hooks {
        /// Sends a question to a daemon, which may be this one.
        std::function<void(const quota_route& route, const quota_question& question)> send;
        /// Requests a call of on_timer(); replaces an earlier request.
        std::function<void(std::chrono::nanoseconds delay)> schedule;
    };

    /// Called once with the verdict on a request.
    /// @return whether the request still needs it; a token that is not needed is returned.
    using handler = std::function<bool(const quota_verdict&)>;

    /// @param members names the holders; must outlive the client.
    /// @param tolerance the tolerance of the fleet.
    /// @param random engine for the session and for the spread of retries.
    quota_client(holder_members& members, quota_tolerance tolerance, random_engine random,
                 hooks hooks);

    /// Asks for a token.
    /// @param account the account of the request.
    /// @param on_verdict called with the verdict, possibly at once.
    void request(const std::string& account, handler on_verdict, steady_time now);

    /// Returns the token of a request that has not run.
    /// @param holder the holder that has granted it.
    void give_back(const std::string& account, const std::string& holder, steady_time now);

    /// Handles an answer.
    void on_answer(const quota_answer& answer, steady_time now);

    /// Repeats questions, and gives up on daemons that have not answered.
    void on_timer(steady_time now);

    /// @return number of accounts whose state is kept.
    std::size_t account_count() const { return m_accounts.size(); }

private:
    struct waiting_request {
        handler on_verdict;
        steady_time since;
    };

    struct open_question {
        quota_question question;
        quota_route route;
        std::size_t step = 0; ///< Its index in the routes of the account.
        steady_time sent_at;
        steady_time give_up_at;
        steady_time next_step_at; ///< It is repeated then, or given up.
    };

    struct account_state {
        std::deque<waiting_request> waiting;
        std::optional<open_question> open;
        std::string returned_to;
        std::uint16_t returned = 0; ///< Tokens to be returned with the next question.
        std::optional<steady_time> return_at;
        quota_verdict refusal; ///< Valid until refused_until.
        steady_time refused_until;
        steady_time next_token_at;
    };

    std::vector<quota_route> routes_of(const std::string& account) const;
    void ask(const std::string& account, account_state& state, std::size_t first_step,
             steady_time now);
    void send(const std::string& account, account_state& state, const quota_route& route,
              std::size_t step, steady_time now);
    void apply(const std::string& account, account_state& state, const quota_answer& answer,
               steady_time now);
    void schedule(steady_time at, steady_time now);
    void repeat(open_question& open, steady_time now) const;
    void on_silent(const std::string& account, account_state& state, steady_time now);
    void update(const std::string& account, account_state& state, steady_time now);
    void refuse(account_state& state, std::size_t count, const quota_verdict& verdict,
                steady_time now);
    quota_verdict repeated_refusal(const account_state& state, steady_time now);
    std::chrono::milliseconds spread(std::chrono::milliseconds range);
    bool is_silent(const quota_route& route, steady_time now) const;

    holder_members& m_members;
    quota_tolerance m_tolerance;
    random_engine m_random;
    hooks m_hooks;
    std::uint32_t m_session;
    std::uint32_t m_sequence = 0;
    std::map<std::string, account_state> m_accounts; ///< Those with something to do.
    std::map<std::uint32_t, std::string> m_open;     ///< Account by number of its open question.
    std::map<quota_route, steady_time> m_silent_until;
    std::optional<steady_time> m_timer_at; ///< When on_timer() is called next.
};

} // namespace galenaroad
