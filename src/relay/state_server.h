#pragma once

#include "net/http_server.h"
#include "relay/peer_state.h"
#include "relay/relay_context.h"

#include <functional>
#include <list>
#include <memory>
#include <string>

namespace galenaroad {

/// Answers the questions of peers for this daemon's state, and holds those that ask for changes
/// until there are some.
class state_server {
public:
    /// What the server reads of the daemon.
    struct hooks {
        std::function<const plan_document&()> document; ///< In force; version 0 without one.
        std::function<bool()> is_fresh;    ///< The daemon reads the store, which answers it.
        std::function<bool()> is_reader;   ///< The daemon reads the store.
        std::function<bool()> is_complete; ///< The daemon knows all owners.
        /// @return daemons that this one knows to be fresh.
        std::function<std::vector<std::string>()> fresh_daemons;
    };

    /// @param context shared state; must outlive the server.
    /// @param reads what the server reads of the daemon.
    /// @param start identifies this start of the daemon.
    state_server(relay_context& context, hooks reads, std::string start);

    /// Answers a question, now or later.
    /// @param client the request with the question.
    /// @return the question, or nothing when the request is none.
    std::optional<state_question> answer(const std::shared_ptr<server_exchange>& client);

    /// Answers the held questions whose peers would learn something new. Changes of owners come in
    /// groups and are told together.
    void note_change();

    /// @return questions that are held.
    std::size_t held() const { return m_held.size(); }

private:
    struct held_question {
        std::shared_ptr<server_exchange> client;
        state_question question;
        steady_time until;
    };

    bool has_urgent_news(const state_question& question) const;
    bool has_news(const state_question& question) const;
    void respond(server_exchange& client, const state_question& question) const;
    std::vector<owner_record> owners_for(const state_question& question) const;
    template <typename Predicate>
    void answer_held(Predicate is_due);
    void sweep();

    relay_context& m_context;
    hooks m_hooks;
    std::string m_start;
    std::list<held_question> m_held;
    bool m_tells_soon = false;
    bool m_is_sweeping = false;
};

} // namespace galenaroad
