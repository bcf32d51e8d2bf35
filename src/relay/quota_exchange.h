#pragma once

#include "accounts/holder_authority.h"
#include "accounts/holder_members.h"
#include "accounts/quota_client.h"
#include "accounts/quota_holder.h"
#include "relay/absence_prober.h"
#include "relay/datagram_channel.h"
#include "relay/relay_context.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace galenaroad {

/// Connects the quota decisions of this daemon with those of the others, by datagrams: as the entry
/// of requests, and as a holder of accounts.
class quota_exchange {
public:
    /// @param context shared state; must outlive the exchange.
    /// @param datagrams the channel of the messages; must outlive the exchange.
    /// @param tolerance the tolerance of the fleet.
    /// @param knows_all_owners whether the directory includes all daemons.
    /// @param on_record called with the record of a daemon that has joined.
    /// @param random random engine.
    quota_exchange(relay_context& context, datagram_channel& datagrams, quota_tolerance tolerance,
                   std::function<bool()> knows_all_owners,
                   std::function<void(const owner_record& record)> on_record, random_engine random);
    quota_exchange(const quota_exchange&) = delete;
    quota_exchange& operator=(const quota_exchange&) = delete;
    quota_exchange(quota_exchange&&) = delete;
    quota_exchange& operator=(quota_exchange&&) = delete;
    ~quota_exchange();

    /// Takes over the changes of the directory. To be called at once: how long a daemon has been
    /// known counts.
    void update_members();

    /// Asks whether a request may run under the quota of its account.
    /// @param account name of the account.
    /// @param on_verdict called with the verdict, possibly at once.
    void request(const std::string& account, quota_client::handler on_verdict);

    /// Returns the token of a request that has not run.
    /// @param account name of the account.
    /// @param holder who has granted it.
    void give_back(const std::string& account, const std::string& holder);

private:
    void send(const quota_route& route, const quota_question& question);
    void schedule(std::chrono::nanoseconds delay);
    void on_timer();
    void on_question(std::string_view bytes, const std::string& sender);
    void on_forward(std::string_view bytes, const std::string& sender);
    void on_answer(std::string_view bytes);
    void answer_own_questions();
    void ask_handover(const std::string& address);
    void on_handover_question(std::string_view bytes, const std::string& sender);
    void on_handover_answer(std::string_view bytes);
    std::optional<account_quota> quota_of(const std::string& account) const;

    relay_context& m_context;
    datagram_channel& m_datagrams;
    std::function<bool()> m_knows_all_owners;
    std::function<void(const owner_record& record)> m_on_record;
    holder_members m_members;
    holder_authority m_authority;
    absence_prober m_prober;
    quota_holder m_holder;
    quota_client m_client;
    event_loop::timer_id m_timer = event_loop::no_timer;
    event_loop::timer_id m_own_timer = event_loop::no_timer;
    /// Who has asked the questions that this daemon passed on; by session, and only the latest.
    std::map<std::uint32_t, std::string> m_forwarded;
    std::map<std::string, steady_time> m_handover_asked_at; ///< By address.
    std::vector<quota_question> m_own_questions; ///< To this daemon itself; answered by its timer.
};

} // namespace galenaroad
