#pragma once

#include "base/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

namespace galenaroad {

/// A request that asks for a slot of the upstream.
struct slot_request {
    std::uint64_t ticket = 0;                  ///< Identifies the request; unique.
    int priority = 0;                          ///< 0 is the most urgent.
    steady_time deadline;                      ///< Its response has to be complete by then.
    bool may_wait = false;                     ///< Otherwise it takes a free slot or none.
    std::chrono::milliseconds service_time{0}; ///< Expected time in which it holds the slot.
};

/// What becomes of a request that asks for a slot.
enum class slot_verdict { run, wait, refuse };

/// Holds the upstream's slot limit and the order in which requests wait for it.
///
/// Answers the load where a service has less capacity than it is asked for: the route's priority
/// decides who comes first, then the deadline, so that calls between services, whose deadlines are
/// short, pass the work that holds a slot while it waits for them. A request that cannot be served
/// before its deadline is refused at once, so that the slots serve requests whose answers are still
/// in time.
class slot_admission {
public:
    /// @param slots requests that the upstream runs at the same time.
    void resize(int slots) { m_slots = slots; }

    /// Asks for a slot.
    /// @param request the request.
    /// @param now the current time.
    slot_verdict admit(const slot_request& request, steady_time now);

    /// Takes out the waiting requests that will not be served in time any more, because more urgent
    /// ones have come before them.
    /// @param now the current time.
    /// @return their tickets.
    std::vector<std::uint64_t> take_unservable(steady_time now);

    /// Takes a waiting request out.
    /// @return false when it was not waiting.
    bool withdraw(std::uint64_t ticket);

    /// Frees a slot.
    void release();

    /// Notes how long a request that ran to a good end held its slot. Failures often end at once
    /// and would make the upstream look fast.
    void record_service_time(std::chrono::nanoseconds service_time);

    /// Gives a free slot to the waiting request that comes first.
    /// @return its ticket, or nothing when no slot is free or nobody waits.
    std::optional<std::uint64_t> next();

    /// @return the time until a request that waited last would get a slot.
    std::chrono::milliseconds expected_wait() const;

    /// @param now the current time.
    /// @return for how long each request has found all slots taken; zero when the latest did not.
    std::chrono::nanoseconds saturation_time(steady_time now) const;

    /// @return requests that hold a slot.
    int running() const { return m_running; }

    /// @return requests that wait.
    int waiting() const { return static_cast<int>(m_waiting.size()); }

    /// @return running and waiting requests in relation to the slots.
    double load() const;

    /// @return the average time for which a request holds a slot.
    std::chrono::milliseconds mean_service_time() const;

private:
    /// Sorts waiting requests by urgency; the ticket makes each one unique.
    using queue_key = std::tuple<int, steady_time, std::uint64_t>;

    int m_slots = 1;
    int m_running = 0;
    std::map<queue_key, std::chrono::milliseconds> m_waiting; ///< With expected service times.
    std::chrono::duration<double> m_mean_service_time{0.2};
    double m_samples = 0;
    std::optional<steady_time> m_saturated_since;
};

} // namespace galenaroad
