#pragma once

#include "base/clock.h"

#include <cstdint>
#include <optional>
#include <set>
#include <tuple>

namespace galenaroad {

/// A request that asks for a slot of the upstream.
struct slot_request {
    std::uint64_t ticket = 0; ///< Identifies the request; unique.
    bool is_nested = false;   ///< Made by another upstream on behalf of work already under way.
    int priority = 0;         ///< 0 is the most urgent.
    steady_time deadline;
    bool may_wait = false; ///< Otherwise it takes a free slot or none.
};

/// What becomes of a request that asks for a slot.
enum class slot_verdict { run, wait, refuse };

/// Holds the upstream's slot limit and the order in which requests wait for it.
///
/// Answers the load where a service has less capacity than it is asked for: nested calls go first,
/// since the work that they belong to holds a slot elsewhere; then the route's priority decides,
/// then the deadline. A request that cannot be served before its deadline is refused at once.
class slot_admission {
public:
    /// @param slots requests that the upstream runs at the same time.
    void resize(int slots) { m_slots = slots; }

    /// Asks for a slot.
    /// @param request the request.
    /// @param now the current time.
    slot_verdict ask(const slot_request& request, steady_time now);

    /// Takes a waiting request out.
    /// @return false when it was not waiting.
    bool withdraw(std::uint64_t ticket);

    /// Frees a slot.
    /// @param served how long the request held it.
    void release(std::chrono::nanoseconds served);

    /// Gives a free slot to the waiting request that comes first.
    /// @return its ticket, or nothing when no slot is free or nobody waits.
    std::optional<std::uint64_t> next();

    /// @return the time until a request that waited last would get a slot.
    std::chrono::milliseconds expected_wait() const;

    /// @return requests that hold a slot.
    int running() const { return m_running; }

    /// @return requests that wait.
    int waiting() const { return static_cast<int>(m_waiting.size()); }

    /// @return running and waiting requests in relation to the slots.
    double load() const;

    /// @return the average time for which a request holds a slot.
    std::chrono::milliseconds mean_service() const;

private:
    /// Sorts waiting requests by urgency; the ticket makes each one unique.
    using waiting_key = std::tuple<int, steady_time, std::uint64_t>;

    static int rank(const slot_request& request);

    int m_slots = 1;
    int m_running = 0;
    std::set<waiting_key> m_waiting;
    std::chrono::duration<double> m_mean_service{0.2};
};

} // namespace galenaroad
