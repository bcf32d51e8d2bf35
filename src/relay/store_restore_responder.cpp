#include "relay/store_restore_responder.h"

#include <algorithm>
#include <random>

namespace galenaroad {

namespace {

using namespace std::chrono_literals;

// Half of the reads that the smallest store takes, the rest are the readers' lists.
constexpr std::size_t calls_per_second = 1000;
constexpr auto min_spread = 250ms;
// Rows must be back within two seconds. Stores of larger fleets take more calls.
constexpr auto max_spread = 1500ms;

} // namespace

store_restore_responder::store_restore_responder(relay_context& context, hooks callbacks,
                                                 random_engine random)
    : m_context(context), m_hooks(std::move(callbacks)), m_random(random)
{
}

store_restore_responder::~store_restore_responder()
{
    m_context.loop.cancel(m_verify_timer);
    m_context.loop.cancel(m_plan_timer);
}

std::chrono::milliseconds store_restore_responder::spread(std::size_t owners)
{
    const std::chrono::milliseconds time(owners * 1000 / calls_per_second);
    return std::clamp<std::chrono::milliseconds>(time, min_spread, max_spread);
}

// The response to the call tells whether the peer is right, and brings this daemon into the era.
void store_restore_responder::on_peer_state(const peer_state& state)
{
    if (!state.is_fresh) {
        return;
    }
    const auto known = m_hooks.era();
    const bool is_newer = state.era.is_known() && (!known.is_known() || known.is_before(state.era));
    if (is_newer && state.era != m_reported_era) {
        m_reported_era = state.era;
        verify_later();
    }
    read_plan_later(state);
}

void store_restore_responder::verify_later()
{
    if (m_verify_timer != event_loop::no_timer) {
        return;
    }
    m_verify_timer = m_context.loop.after(any_delay(), [this] {
        m_verify_timer = event_loop::no_timer;
        const auto known = m_hooks.era();
        m_hooks.verify_record(known.is_before(m_reported_era) ? m_reported_era : known);
    });
}

// Peers send changes from one version to another, so a version with other contents is read from the
// store. A response that does not arrive is followed by another one of the peer.
void store_restore_responder::read_plan_later(const peer_state& state)
{
    const auto& plan = m_context.plans.in_force();
    const bool is_other = plan && state.plan_digest != 0 && state.plan_version == plan->version() &&
                          state.plan_digest != plan->digest();
    if (!is_other || m_plan_timer != event_loop::no_timer) {
        return;
    }
    m_plan_timer = m_context.loop.after(any_delay(), [this] {
        m_plan_timer = event_loop::no_timer;
        m_hooks.read_plan();
    });
}

std::chrono::milliseconds store_restore_responder::any_delay()
{
    const auto longest = spread(m_context.directory.size()).count();
    std::uniform_int_distribution<std::chrono::milliseconds::rep> delay_ms(0, longest);
    return std::chrono::milliseconds(delay_ms(m_random));
}

} // namespace galenaroad
