#pragma once

#include "net/http_client.h"
#include "relay/peer_state.h"
#include "relay/relay_context.h"

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

namespace galenaroad {

/// Fetches the state of peers, mainly plans that are newer than the plan in force.
///
/// When a peer does not respond at once, a request is sent in parallel to the next peer that has
/// reported the plan. It uses a new connection, since an idle one may no longer work. Requests to
/// peers that stay silent are abandoned in favour of requests to others.
class plan_fetcher {
public:
    /// Called with a peer's response.
    using state_hook = std::function<void(const peer_state& state, const std::string& peer)>;

    /// Called with the address of a peer that cannot be reached.
    using unreachable_hook = std::function<void(const std::string& peer)>;

    /// @param context shared state; must outlive the fetcher.
    /// @param on_state called with each response.
    /// @param on_unreachable called for each peer that does not respond.
    plan_fetcher(relay_context& context, state_hook on_state, unreachable_hook on_unreachable);
    plan_fetcher(const plan_fetcher&) = delete;
    plan_fetcher& operator=(const plan_fetcher&) = delete;
    plan_fetcher(plan_fetcher&&) = delete;
    plan_fetcher& operator=(plan_fetcher&&) = delete;
    ~plan_fetcher();

    /// Handles a plan version reported by a peer: fetches the plan unless it is known.
    /// @param version the plan's version.
    /// @param peer the peer's address.
    void on_newer_version(std::uint64_t version, const std::string& peer);

    /// Requests the state of a peer, whatever its plan version is.
    /// @param peer the peer's address.
    void request_state(const std::string& peer);

private:
    /// Why a state is requested.
    enum class request_purpose {
        fetch, ///< The peer has reported a newer plan.
        poll,  ///< Nothing vouches for the plan in force.
    };

    /// A peer that has reported the wanted plan.
    struct holder {
        std::string peer;
        int attempts = 0;
    };

    /// A request that has not been completed.
    struct pending_request {
        std::string peer;
        request_purpose purpose;
        steady_time sent_at;
        std::string response_body;
        std::shared_ptr<http_exchange> call;
    };

    std::uint64_t known_version() const;
    void request_from_next_holder();
    static const char* name_of(request_purpose purpose);
    bool make_room(request_purpose purpose);
    void send(const std::string& peer, request_purpose purpose, std::chrono::milliseconds max_idle);
    void on_response(std::list<pending_request>::iterator pending);
    void on_failed(std::list<pending_request>::iterator pending);

    relay_context& m_context;
    state_hook m_on_state;
    unreachable_hook m_on_unreachable;
    std::uint64_t m_wanted_version = 0; ///< The newest reported version.
    std::vector<holder> m_holders;      ///< The most recent ones.
    std::list<pending_request> m_requests;
    /// Until a request is sent to another holder.
    event_loop::timer_id m_next_holder_timer = event_loop::no_timer;
};

} // namespace galenaroad
