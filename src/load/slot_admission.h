#pragma once

#include "load/slot_queue.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace galenaroad {

/// Decision on a request for a slot.
enum class slot_verdict { run, wait, refuse };

/// Limits the concurrency of the upstream to its slots and queues the requests that wait for one.
///
/// Requests are queued by priority, then by deadline. Calls between services have short deadlines,
/// so they overtake the requests that hold a slot while they wait for such a call. When the waiting
/// requests cannot all be served before their deadlines, slot_queue decides which of them are
/// turned away at once: under overload, the slots are kept for requests that can still be answered
/// in time.
class slot_admission {
public:
    /// @param policy what is weighed when not all requests can be served in time.
    explicit slot_admission(slot_queue_policy policy = {}) : m_queue(policy) {}

    /// @param slots maximum number of requests that the upstream runs concurrently.
    void resize(int slots) { m_slots = slots; }

    /// Decides whether a request gets a slot, waits for one or is refused.
    /// @param request the request.
    /// @param now the current time.
    slot_verdict admit(const slot_request& request, steady_time now);

    /// Removes the waiting requests that are turned away because not all can be served before their
    /// deadlines.
    /// @param now the current time.
    /// @return the tickets of the removed requests.
    std::vector<std::uint64_t> take_unservable(steady_time now);

    /// Removes a waiting request.
    /// @return false if the request was not waiting.
    bool withdraw(std::uint64_t ticket);

    /// Frees a slot.
    void release();

    /// Records how long a successful request held its slot. Failed requests are not to be recorded:
    /// they often end at once and would make the upstream look fast.
    void record_service_time(std::chrono::nanoseconds service_time);

    /// Assigns a free slot to the first waiting request.
    /// @return its ticket, or nothing if no slot is free or no request is waiting.
    std::optional<std::uint64_t> next();

    /// @return the expected time until a request queued last would get a slot.
    std::chrono::milliseconds expected_wait() const;

    /// @param now the current time.
    /// @return how long all slots have been taken, as seen by arriving requests; zero if the latest
    /// request found a free slot.
    std::chrono::nanoseconds saturation_time(steady_time now) const;

    /// @return number of requests that hold a slot.
    int running() const { return m_running; }

    /// @return number of waiting requests.
    int waiting() const { return static_cast<int>(m_queue.size()); }

    /// @return number of running and waiting requests divided by the number of slots.
    double load() const;

    /// @return the average time for which a request holds a slot.
    std::chrono::milliseconds mean_service_time() const;

private:
    slot_queue_timing timing() const { return {m_slots, m_mean_service_time}; }

    int m_slots = 1;
    int m_running = 0;
    slot_queue m_queue;
    std::chrono::duration<double> m_mean_service_time{0.2};
    double m_samples = 0;
    std::optional<steady_time> m_saturated_since;
};

} // namespace galenaroad
