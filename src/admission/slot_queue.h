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

/// What the owner needs to know of a request to admit it.
struct admission_request {
    std::uint64_t ticket = 0; ///< Chosen by the caller of slot_queue; unique while in use.
    std::string caller;       ///< Client account or address, for fairness.
    request_class work = request_class::read;
    int depth = 0; ///< Number of nested calls above this one.
    steady_time deadline;
};

/// Outcome of an offer to the queue.
enum class admission_state { admitted, queued, refused };

/// Answer of the queue to an offer.
struct admission_decision {
    admission_state state = admission_state::refused;
    steady_time wait_until;                   ///< For `queued`: refuse when still queued then.
    error_kind reason = error_kind::ok;       ///< For `refused`.
    std::chrono::milliseconds retry_after{0}; ///< For `refused`.
};

/// Slots of one upstream and the short queue before them.
///
/// The owner's daemon sees all work of its upstreams, so the slot limit is exact. Not thread-safe.
class slot_queue {
public:
    /// @param slots requests that the upstream can run at the same time; at least one.
    explicit slot_queue(int slots);

    /// Offers a request.
    /// @param request the request.
    /// @param now the current time.
    /// @return whether it may run now, waits, or is refused as not run.
    admission_decision offer(const admission_request& request, steady_time now);

    /// Ends an admitted request and admits waiting ones.
    /// @param started when the request was admitted, for the estimate of the service time.
    /// @param now the current time.
    /// @return tickets that are admitted now.
    std::vector<std::uint64_t> finish(steady_time started, steady_time now);

    /// Removes a waiting request whose wait has ended or whose caller has gone.
    /// @param ticket the request's ticket.
    /// @return true when it was still waiting; it has not run.
    bool cancel(std::uint64_t ticket);

    /// Takes the requests that were displaced by more urgent ones since the last call.
    /// @return their tickets; they have not run.
    std::vector<std::uint64_t> take_displaced();

    /// Notes that the upstream itself shed a request: its limit is lowered by one slot.
    /// @param now the current time.
    void on_shed(steady_time now);

    /// Changes the number of slots after a new announcement.
    /// @param slots the new number.
    void resize(int slots);

    /// @return requests that are running.
    int in_use() const { return m_in_use; }

    /// @return requests that are waiting.
    int queued() const { return static_cast<int>(m_waiting.size()); }

    /// @param now the current time.
    /// @return the limit in force, at most the announced slots.
    int limit(steady_time now) const;

    /// Estimates when a refused request may be sent again.
    /// @return the time after which a slot should be free.
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
    /// Admissions per caller while anyone waits; cleared when the queue is empty or at a limit.
    std::map<std::string, int> m_recent_admissions;
};

} // namespace galenaroad
