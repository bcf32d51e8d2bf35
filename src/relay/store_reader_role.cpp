#include "relay/store_reader_role.h"

#include <algorithm>

namespace galenaroad {

namespace {

using namespace std::chrono_literals;

// A reader that restarts or whose connection breaks is back within this time.
constexpr auto delay_with_readers = 1000ms;
// Without any reader the next change of the plan would be missed.
constexpr auto delay_without_readers = 150ms;
// For each daemon that may take over before this one: it needs a moment to be heard of.
constexpr auto step_with_readers = 700ms;
constexpr auto step_without_readers = 50ms;
// Readers that answer and have not been fresh yet are about to list the store.
constexpr auto step_with_starting_readers = 1000ms;
// Where the store has ceased to answer the readers, it may answer others. A few try at once, so
// that a plan is in force in time; the store hardly answers the rest if it answers none of them.
constexpr auto delay_without_store = 100ms;
constexpr auto step_without_store = 100ms;
constexpr int prompt_positions = 6;
constexpr auto later_step_without_store = 1000ms;
constexpr auto max_delay = 15s;
// A daemon goes on for this long after it was needed, so that readers which come and go cost few
// lists. Being short for less than the patience, as when a followed one stops, is no need.
constexpr auto hold_time = 5s;

} // namespace

store_reader_role::store_reader_role(const clock& time) : m_clock(time) {}

bool store_reader_role::update(const preceding_daemons& preceding)
{
    const auto now = m_clock.steady_now();
    const bool lacks_readers = preceding.fresh < readers_per_data_centre;
    m_may_be_first = preceding.fresh == 0 || preceding.lost_store > 0;
    if (lacks_readers && !m_lacks_readers) {
        m_lacking_since = now;
    }
    m_lacks_readers = lacks_readers;
    if (lacks_readers && now - m_lacking_since >= takeover_delay(preceding)) {
        m_is_reader = true;
        m_last_needed_at = now;
    }
    if (!lacks_readers && now - m_last_needed_at >= hold_time) {
        m_is_reader = false;
    }
    return m_is_reader;
}

std::chrono::milliseconds store_reader_role::takeover_delay(const preceding_daemons& preceding)
{
    if (preceding.total < readers_per_data_centre) {
        return 0ms;
    }
    const auto positions = static_cast<int>(preceding.total - readers_per_data_centre);
    auto delay = delay_without_readers + step_without_readers * positions;
    if (preceding.fresh > 0) {
        delay = delay_with_readers + step_with_readers * positions;
    }
    else if (preceding.lost_store > 0) {
        const auto prompt_steps = std::min(positions, prompt_positions);
        delay = delay_without_store + step_without_store * prompt_steps +
                later_step_without_store * (positions - prompt_steps);
    }
    else if (preceding.reachable > 0) {
        delay = delay_with_readers + step_with_starting_readers * positions;
    }
    return std::min<std::chrono::milliseconds>(delay, max_delay);
}

} // namespace galenaroad
