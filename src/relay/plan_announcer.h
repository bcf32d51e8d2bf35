#pragma once

#include "net/http_client.h"
#include "relay/relay_context.h"

#include <list>
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

    /// Announces the plan to one daemon of each other data centre, and shortly afterwards to a
    /// second one, since the first may be unreachable.
    void announce_to_other_data_centres();

    /// Announces the plan to one peer.
    /// @param peer its address.
    void announce_to(const std::string& peer);

private:
    std::vector<std::string> choose_one_per_data_centre();

    relay_context& m_context;
    random_engine m_random;
    std::list<std::shared_ptr<http_exchange>> m_calls;
    event_loop::timer_id m_second_round_timer = event_loop::no_timer;
};

} // namespace galenaroad
