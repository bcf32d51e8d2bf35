#pragma once

#include "net/http_client.h"
#include "relay/relay_context.h"

#include <list>
#include <memory>
#include <string>
#include <vector>

namespace galenaroad {

/// Tells peers at once that this daemon has a newer plan, by a question that carries its version.
/// They fetch the plan when they do not have it yet.
///
/// Versions ride on requests as well, but requests stay near: a data centre whose readers the store
/// does not answer may not exchange any with another one for seconds.
class plan_announcer {
public:
    /// @param context shared state; must outlive the announcer.
    /// @param random engine that chooses a daemon of each data centre.
    plan_announcer(relay_context& context, random_engine random);
    plan_announcer(const plan_announcer&) = delete;
    plan_announcer& operator=(const plan_announcer&) = delete;
    plan_announcer(plan_announcer&&) = delete;
    plan_announcer& operator=(plan_announcer&&) = delete;
    ~plan_announcer();

    /// Tells one daemon of each other data centre, and another one a moment later, since the first
    /// one may not be reached.
    void announce_to_other_data_centres();

    /// Tells one peer.
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
