#pragma once

#include "admission/slot_queue.h"
#include "base/random_engine.h"
#include "experiment/detection_scenario.h"
#include "model/contract.h"

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace galenaroad {

/// One request of the open-loop load.
struct detection_request {
    int service = 0;
    int entry = 0;
    request_class work = request_class::read;
    steady_time deadline;
    int attempts = 0;
    bool answered = false;
    std::vector<upstream_id> tried;
};

/// One attempt at a request.
struct detection_attempt {
    std::shared_ptr<detection_request> request;
    int instance = 0;
    std::uint64_t ticket = 0;
    steady_time sent;
    steady_time admitted;
    bool is_running = false;   ///< Occupies a slot.
    bool is_received = false;  ///< The entry daemon has the answer.
    bool is_abandoned = false; ///< The entry daemon no longer waits for it.
};

using attempt_pointer = std::shared_ptr<detection_attempt>;

/// Fake backend server with the slot queue that its owner keeps before it.
class detection_server {
public:
    /// @param slots the server's slots.
    /// @param bias factor of its service times: servers are not exactly alike.
    detection_server(int slots, double bias) : queue(slots), m_bias(bias) {}

    /// Draws the service time of an attempt.
    /// @param work the request class.
    /// @param random the random engine.
    /// @return the time of a healthy server.
    std::chrono::nanoseconds healthy_time(request_class work, random_engine& random) const;

    /// @return mean service time over all classes, for the offered load.
    static std::chrono::nanoseconds mean_time();

    /// @return the class of the next request: mostly reads.
    static request_class draw_class(random_engine& random);

    slot_queue queue;
    std::map<std::uint64_t, attempt_pointer> attempts; ///< Waiting and running, by ticket.
    std::vector<attempt_pointer> frozen;               ///< Ended while the server was frozen.
    std::uint64_t next_ticket = 1;

private:
    double m_bias;
};

} // namespace galenaroad
