#pragma once

#include "net/http_client.h"
#include "relay/relay_context.h"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace galenaroad {

/// Announces a newer plan to peers at once, by a state request that carries its version. A peer
/// that does not have the plan yet fetches it.
///
/// Forwarded requests carry plan versions as well, but they mostly stay within one data centre. A
/// data centre whose readers get no response from the store might not exchange a request with
/// another one for seconds.
class plan_announcer {
public:
    /// @param context shared state; must outlive the announcer.
    /// @param random random engine for the choice of a daemon in each data centre.
    plan_announcer(relay_context& context, random_engine random);
    plan_announcer(const plan_announcer&) = delete;
    plan_announcer& operator=(const plan_announcer&) = delete;
    plan_announcer(plan_announcer&&) = delete;
    plan_announcer& operator=(plan_announcer&&) = delete;
    ~plan_announcer();

    /// Announces the plan to daemons of each other data centre, one after another, until two of
    /// them have responded. One might end before it has passed the plan on.
    void announce_to_other_data_centres();

    /// Announces the plan to a few random daemons of this data centre. When each daemon that gets a
    /// plan in this way does the same, it reaches all of them, whoever reads the store.
    void announce_to_neighbours();

    /// Announces the plan to one peer.
    /// @param peer its address.
    void announce_to(const std::string& peer);

private:
    using response_hook = std::function<void()>;

    void announce_round();
    std::map<std::string, std::vector<std::string>> reachable_peers() const;
    const std::string& choose(const std::vector<std::string>& addresses);
    void send(const std::string& peer, const response_hook& on_response);

    relay_context& m_context;
    random_engine m_random;
    std::list<std::shared_ptr<http_exchange>> m_calls;
    std::map<std::string, int> m_responses; ///< To the latest plan, by data centre.
    int m_rounds = 0;                       ///< For the latest plan.
    event_loop::timer_id m_round_timer = event_loop::no_timer;
};

} // namespace galenaroad
