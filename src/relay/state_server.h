#pragma once

#include "net/http_server.h"
#include "relay/peer_state.h"
#include "relay/relay_context.h"

#include <functional>
#include <list>
#include <memory>
#include <string>

namespace galenaroad {

/// Responds to state requests of peers. Holds requests for changes until the state has changed
/// (long polling).
class state_server {
public:
    /// Callbacks through which the server reads the daemon's state.
    struct hooks {
        std::function<bool()> is_fresh;       ///< The daemon reads the store, which responds.
        std::function<bool()> is_reader;      ///< The daemon reads the store.
        std::function<bool()> has_lost_store; ///< See peer_state.
        std::function<bool()> is_complete;    ///< The daemon knows all owners.
        std::function<store_era()> era;       ///< Of the store; see fleet_store::era().
        /// @return daemons that this daemon knows to be fresh.
        std::function<std::vector<std::string>()> fresh_daemons;
    };

    /// @param context shared state; must outlive the server.
    /// @param reads access to the daemon's state.
    /// @param start identifies this start of the daemon.
    state_server(relay_context& context, hooks callbacks, std::string start_id);

    /// Responds to a state request, at once or when the state has changed.
    /// @param client the HTTP exchange.
    /// @return the decoded request, or nothing when it is invalid.
    std::optional<state_request> handle_request(const std::shared_ptr<server_exchange>& client);

    /// Responds to the held requests for whose peers something has changed. Changes of owners come
    /// in groups, so they are collected for a short time and sent together.
    void on_state_change();

    /// @return number of held requests.
    std::size_t held_requests() const { return m_held.size(); }

private:
    struct held_request {
        std::shared_ptr<server_exchange> client;
        state_request request;
        steady_time until;
    };

    bool has_urgent_change(const state_request& request) const;
    bool has_other_era(const state_request& request) const;
    bool has_other_plan(const state_request& request) const;
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
