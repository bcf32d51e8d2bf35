#pragma once

#include "admission/slot_queue.h"
#include "base/clock.h"

#include <condition_variable>
#include <map>
#include <mutex>

namespace galenaroad {

/// Outcome of waiting for a slot.
struct gate_outcome {
    bool admitted = false;
    error_kind reason = error_kind::ok;       ///< When not admitted.
    std::chrono::milliseconds retry_after{0}; ///< When not admitted.
};

/// Load of an upstream as it is reported on responses.
struct gate_load {
    int in_use = 0;
    int queued = 0;
};

/// Lets threads wait for a slot of one upstream. Thread-safe shell around slot_queue.
class slot_gate {
public:
    /// @param slots requests that the upstream can run at the same time.
    /// @param time the clock; must outlive this object.
    slot_gate(int slots, const clock& time);

    /// Waits for a slot, at most as long as the queue allows.
    /// @param request the request; its ticket is chosen here.
    /// @return whether it may run; an admitted request must call release().
    gate_outcome enter(admission_request request);

    /// Frees the slot of an admitted request.
    /// @param started when it was admitted.
    void release(steady_time started);

    /// Notes that the upstream itself shed a request.
    void note_shed();

    /// @param slots the number of slots of a new announcement.
    void resize(int slots);

    /// @return slots in use and waiting requests.
    gate_load load() const;

private:
    enum class ticket_state { waiting, admitted, displaced };

    gate_outcome wait(std::unique_lock<std::mutex>& lock, const admission_request& request,
                      steady_time until);
    void collect_displaced();
    gate_outcome refused(error_kind reason) const;

    const clock& m_clock;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    slot_queue m_queue;
    std::uint64_t m_last_ticket = 0;
    std::map<std::uint64_t, ticket_state> m_waiting;
};

} // namespace galenaroad
