#include "relay/store_reader_role.h"

#include <algorithm>

namespace galenaroad {

namespace {

using namespace std::chrono_literals;

// A reader that restarts or whose connection breaks is available again within this time.
constexpr auto delay_with_readers = 1000ms;
// Short, since without any reader the next plan change would be missed.
constexpr auto delay_without_readers = 150ms;
// Added for each daemon that may take over before this one, until its state reaches this one.
constexpr auto step_with_readers = 700ms;
// Added for each doubling of the position. Within one step, as many daemons take over as in all
// steps before, so that at most twice as many read as are needed.
constexpr auto doubling_step_without_readers = 150ms;
// Readers that respond but have not been fresh yet are about to list the store.
constexpr auto step_with_starting_readers = 1000ms;
// When the store has stopped responding to the readers, it may still respond to other daemons. A
// few of them try at once, so that plan changes still arrive in time. If the store responds to none
// of these, it is unlikely to respond to the rest, so the rest wait longer.
constexpr auto delay_without_store = 100ms;
constexpr auto step_without_store = 100ms;
constexpr int prompt_positions = 6;
constexpr auto later_step_without_store = 1000ms;
constexpr auto max_delay = 15s;
// A daemon continues to read for this long after it was last needed, so that readers that come and
// go cause few listings of the store. A lack of readers that is shorter than the take-over delay,
// as when a followed reader stops, does not count.
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

int store_reader_role::doublings(int position)
{
    int result = 0;
    for (; position > 0; position /= 2) {
        ++result;
    }
    return result;
}

void store_reader_role::take_over()
{
    m_is_reader = true;
    m_last_needed_at = m_clock.steady_now();
}

std::chrono::milliseconds store_reader_role::takeover_delay(const preceding_daemons& preceding)
{
    if (preceding.total < readers_per_data_centre) {
        return 0ms;
    }
    const int position = position_in_line(preceding);
    auto delay = delay_without_readers + doubling_step_without_readers * doublings(position);
    if (preceding.fresh > 0) {
        delay = delay_with_readers + step_with_readers * position;
    }
    else if (preceding.lost_store > 0) {
        const auto prompt_steps = std::min(position, prompt_positions);
        delay = delay_without_store + step_without_store * prompt_steps +
                later_step_without_store * (position - prompt_steps);
    }
    else if (preceding.responding > 0) {
        delay = delay_with_readers + step_with_starting_readers * position;
    }
    return std::min<std::chrono::milliseconds>(delay, max_delay);
}

// Number of daemons that may take over before this one. Daemons that are unreachable or have lost
// the store do not count, and neither do as many as should read.
int store_reader_role::position_in_line(const preceding_daemons& preceding)
{
    const auto unavailable = preceding.unreachable + preceding.lost_store;
    const auto not_in_line = std::max(unavailable, readers_per_data_centre);
    return preceding.total > not_in_line ? static_cast<int>(preceding.total - not_in_line) : 0;
}

} // namespace galenaroad
