#pragma once

#include "base/clock.h"
#include "base/error_kind.h"
#include "model/contract.h"

#include <chrono>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace galenaroad {

/// Properties of a request that decide on its admission.
struct admission_request {
    std::uint64_t ticket = 0; ///< Id set by the user of slot_queue; unique while in use.
    std::string caller;       ///< Client account or address; the queue is fair between callers.
    request_class work = request_class::read;
    int depth = 0; ///< Nesting depth of the call; 0 for a call that is not nested.
    steady_time deadline;
};

/// Result of offering a request to the queue.
enum class admission_state { admitted, queued, refused };

/// Decision of the queue on an offered request.
struct admission_decision {
    admission_state state = admission_state::refused;
    steady_time wait_until;             ///< For `queued`: when the request is to be cancelled.
    error_kind reason = error_kind::ok; ///< For `refused`.
    std::chrono::milliseconds retry_after{0}; ///< For `refused`.
};

/// Slots of one upstream and the short queue of requests that wait for them.
///
/// All requests to an upstream pass through its owner, so the slot limit is exact. Not thread-safe.
class slot_queue {
public:
    /// @param slots requests that the upstream can run at the same time; at least one.
    explicit slot_queue(int slots);

    /// Offers a request.
    /// @param request the request.
    /// @param now the current time.
    /// @return whether it may run now, has to wait, or is refused without having run.
    admission_decision offer(const admission_request& request, steady_time now);

    /// Ends an admitted request and admits waiting ones.
    /// @param started when the request was admitted; updates the mean service time.
    /// @param now the current time.
    /// @return the tickets of the requests that are admitted now.
    std::vector<std::uint64_t> finish(steady_time started, steady_time now);

    /// Removes a waiting request that has waited too long or whose caller has disconnected.
    /// @param ticket the request's ticket.
    /// @return true when it was still waiting; then it has not run.
    bool cancel(std::uint64_t ticket);

    /// Returns the requests that more urgent ones have displaced since the last call.
    /// @return their tickets; they have not run.
    std::vector<std::uint64_t> take_displaced();

    /// Lowers the limit by one slot, because the upstream itself shed a request.
    /// @param now the current time.
    void on_shed(steady_time now);

    /// Changes the number of slots after a new announcement.
    /// @param slots the new number.
    void resize(int slots);

    /// @return the number of running requests.
    int in_use() const { return m_in_use; }

    /// @return the number of waiting requests.
    int queued() const { return static_cast<int>(m_waiting.size()); }

    /// @param now the current time.
    /// @return the slot limit in force, at most the announced slots.
    int limit(steady_time now) const;

    /// Estimates when a refused request may be sent again.
    /// @return the time after which a slot is expected to be free.
    std::chrono::milliseconds retry_after() const;

private:
    using waiting_list = std::list<admission_request>;

    waiting_list::iterator most_urgent();
    waiting_list::iterator least_urgent();
    bool is_more_urgent(const admission_request& a, const admission_request& b) const;
    void admit(const admission_request& request);
    admission_decision enqueue(const admission_request& request, steady_time now);

    int m_slots;
    int m_in_use = 0;
    int m_shed_slots = 0;
    steady_time m_last_shed;
    std::chrono::duration<double> m_mean_service_time;
    waiting_list m_waiting;
    std::vector<std::uint64_t> m_displaced;
    /// Number of recent admissions by caller. It is cleared when no request waits and when it has
    /// max_tracked_callers entries.
    std::map<std::string, int> m_recent_admissions;
};

} // namespace galenaroad
