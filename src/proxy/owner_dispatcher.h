#pragma once

#include "base/clock.h"
#include "health/service_health.h"
#include "peer/peer_handlers.h"
#include "proxy/attempt_result.h"
#include "proxy/backend_order.h"
#include "proxy/backend_pool.h"
#include "proxy/hop_telemetry.h"
#include "proxy/local_upstream.h"
#include "proxy/open_attempt_table.h"
#include "proxy/snapshot_cell.h"
#include "proxy/stream_answer_sink.h"
#include "proxy/work_gate.h"
#include "relay/attempt_registry.h"

#include <atomic>
#include <functional>
#include <mutex>

namespace galenaroad {

/// What an owner reports about one attempt, for health and metrics.
struct owner_observation {
    service_id service;
    std::string upstream;
    request_class work = request_class::read;
    attempt_result outcome;
    std::chrono::microseconds service_time{0};
};

/// Parts of the daemon that the owner role uses. All outlive the dispatcher.
struct owner_parts {
    const clock& time;
    work_gate& gate;
    backend_pool& backends;
    const snapshot_cell<local_upstreams>& upstreams;
    const std::atomic<std::uint64_t>& incarnation;
    hop_telemetry& telemetry;
    std::function<void(const owner_observation&)> observe;
    std::function<std::uint64_t(const std::string& business)> contract_version;
    std::function<owner_assessment(const std::string& upstream)> report;
    open_attempt_table& open;
    std::string instance; ///< Name of this instance.
};

/// Handles forwarded requests for the backend servers of this instance.
class owner_dispatcher {
public:
    /// Attempts that are remembered; at 60 s this covers 1,000 actions a second.
    static constexpr std::size_t remembered_attempts = 65'536;

    /// @param parts what the owner role uses.
    explicit owner_dispatcher(owner_parts parts);

    /// Handles one forwarded request.
    /// @param context the call's context.
    /// @param stream the call's stream.
    void handle(grpc::ServerContext& context, forward_stream& stream);

    /// Forbids an attempt to start.
    /// @param request the attempt and the incarnation that is asked.
    /// @return what is known of the attempt.
    peer::FenceResponse fence(const peer::FenceRequest& request);

private:
    struct attempt;

    attempt_result dispatch(attempt& run);
    attempt_result admit_and_run(attempt& run, const local_upstream& target);
    attempt_result start_and_run(attempt& run, const local_upstream& target);
    attempt_result run_registered(attempt& run, const local_upstream& target);
    attempt_result call_backend(attempt& run, const local_upstream& target);
    void end(attempt& run, const attempt_result& outcome);

    owner_parts m_parts;
    std::mutex m_attempts_mutex;
    attempt_registry m_attempts;
};

} // namespace galenaroad
