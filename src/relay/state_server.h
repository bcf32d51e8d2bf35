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
        std::function<const plan_document&()> plan_in_force; ///< In force; version 0 without one.
        std::function<bool()> is_fresh;    ///< The daemon reads the store, which answers it.
        std::function<bool()> is_reader;   ///< The daemon reads the store.
        std::function<bool()> is_complete; ///< The daemon knows all owners.
        /// @return daemons that this one knows to be fresh.
        std::function<std::vector<std::string>()> fresh_daemons;
    };

    /// @param context shared state; must outlive the server.
    /// @param reads what the server reads of the daemon.
    /// @param start identifies this start of the daemon.
    state_server(relay_context& context, hooks callbacks, std::string start_id);

    /// Answers a question, now or later.
    /// @param client the request with the question.
    /// @return the question, or nothing when the request is none.
    std::optional<state_request> handle_request(const std::shared_ptr<server_exchange>& client);

    /// Answers the held questions whose peers would learn something new. Changes of owners come in
    /// groups and are told together.
    void on_state_change();

    /// @return questions that are held.
    std::size_t held_requests() const { return m_held.size(); }

private:
    struct held_request {
        std::shared_ptr<server_exchange> client;
        state_request request;
        steady_time until;
    };

    bool has_urgent_change(const state_request& request) const;
    bool has_change(const state_request& request) const;
    void respond(server_exchange& client, const state_request& request) const;
    std::vector<owner_record> owners_for(const state_request& request) const;
    template <typename Predicate>
    void respond_to_held(Predicate is_due);
    void sweep();

    relay_context& m_context;
    hooks m_hooks;
    std::string m_start_id;
    std::list<held_request> m_held;
    bool m_is_response_scheduled = false;
    bool m_is_sweep_scheduled = false;
};

} // namespace galenaroad
