#include "relay/reader_role.h"

#include <algorithm>

namespace galenaroad {

namespace {

using namespace std::chrono_literals;

// A reader that restarts or whose connection breaks is back within this time.
constexpr auto patience_with_readers = 1000ms;
// Without any reader the next change of the plan would be missed.
constexpr auto patience_alone = 150ms;
// For each daemon that may take over before this one: it needs a moment to be heard of.
constexpr auto step_with_readers = 700ms;
constexpr auto step_alone = 50ms;
// Readers that answer and have not been fresh yet are about to list the store.
constexpr auto step_with_new_readers = 1000ms;
// Where the store has ceased to answer the readers, it may answer others. A few try at once, so
// that a plan is in force in time; the store hardly answers the rest if it answers none of them.
constexpr auto patience_without_store = 100ms;
constexpr auto step_without_store = 100ms;
constexpr int prompt_places = 6;
constexpr auto later_step_without_store = 1000ms;
constexpr auto longest_patience = 15s;
// A daemon goes on for this long after it was needed, so that readers which come and go cost few
// lists. Being short for less than the patience, as when a followed one stops, is no need.
constexpr auto hold_time = 5s;

} // namespace

reader_role::reader_role(const clock& time) : m_clock(time) {}

bool reader_role::update(const reader_view& view)
{
    const auto now = m_clock.steady_now();
    const bool is_short = view.fresh < readers;
    m_may_be_first = view.fresh == 0 || view.lost > 0;
    if (is_short && !m_is_short) {
        m_short_since = now;
    }
    m_is_short = is_short;
    if (is_short && now - m_short_since >= patience(view)) {
        m_is_reader = true;
        m_needed_at = now;
    }
    if (!is_short && now - m_needed_at >= hold_time) {
        m_is_reader = false;
    }
    return m_is_reader;
}

std::chrono::milliseconds reader_role::patience(const reader_view& view)
{
    if (view.before < readers) {
        return 0ms;
    }
    const auto places = static_cast<int>(view.before - readers);
    auto total = patience_alone + step_alone * places;
    if (view.fresh > 0) {
        total = patience_with_readers + step_with_readers * places;
    }
    else if (view.lost > 0) {
        const auto prompt = std::min(places, prompt_places);
        total = patience_without_store + step_without_store * prompt +
                later_step_without_store * (places - prompt);
    }
    else if (view.reachable > 0) {
        total = patience_with_readers + step_with_new_readers * places;
    }
    return std::min<std::chrono::milliseconds>(total, longest_patience);
}

} // namespace galenaroad
