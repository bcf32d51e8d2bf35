#pragma once

#include "base/random_engine.h"
#include "fleet/store_era.h"
#include "relay/peer_state.h"
#include "relay/relay_context.h"

#include <chrono>
#include <cstddef>
#include <functional>

namespace galenaroad {

/// Decides what a daemon does when the store has come back from an older copy: when it compares its
/// own row, and when it reads a plan that has been written again under the version in force.
///
/// A daemon learns of the new era from its own calls to the store, or from the store readers that
/// it follows. The calls of all daemons are spread over up to 1.5 s.
class store_restore_responder {
public:
    /// Access to the store.
    struct hooks {
        std::function<store_era()> era;               ///< See fleet_store::era().
        std::function<void(store_era)> verify_record; ///< See fleet_store::verify_record().
        std::function<void()> read_plan;              ///< See peer_sync::hooks::read_other_plan.
    };

    /// @param context shared state; must outlive this object.
    /// @param callbacks see hooks.
    /// @param random source of the spread.
    store_restore_responder(relay_context& context, hooks callbacks, random_engine random);
    store_restore_responder(const store_restore_responder&) = delete;
    store_restore_responder& operator=(const store_restore_responder&) = delete;
    store_restore_responder(store_restore_responder&&) = delete;
    store_restore_responder& operator=(store_restore_responder&&) = delete;
    ~store_restore_responder();

    /// Called when the store has shown this daemon a new era.
    void on_era_changed() { verify_later(); }

    /// Called with each response of a peer.
    /// @param state the response.
    void on_peer_state(const peer_state& state);

    /// @param owners number of known owners.
    /// @return the time over which the calls of all of them are spread.
    static std::chrono::milliseconds spread(std::size_t owners);

private:
    void verify_later();
    void read_plan_later(const peer_state& state);
    std::chrono::milliseconds any_delay();

    relay_context& m_context;
    hooks m_hooks;
    random_engine m_random;
    store_era m_reported_era; ///< Latest one that a peer has reported and that led to a call.
    event_loop::timer_id m_verify_timer = event_loop::no_timer;
    event_loop::timer_id m_plan_timer = event_loop::no_timer;
};

} // namespace galenaroad
