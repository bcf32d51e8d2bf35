#pragma once

#include "peer/peer_handlers.h"
#include "proxy/action_forwarder.h"
#include "proxy/work_gate.h"

namespace galenaroad {

/// Handles actions whose keys this daemon has issued and that other entry daemons pass on.
class issued_action_handler {
public:
    /// All references must outlive the handler.
    /// @param time the clock.
    /// @param gate admits the work.
    /// @param view the routes.
    /// @param forward runs the actions.
    issued_action_handler(const clock& time, work_gate& gate, const snapshot_cell<fleet_view>& view,
                          action_forwarder& forward);

    /// Handles one request.
    /// @param stream the call's stream.
    void handle(forward_stream& stream);

private:
    attempt_result run(const peer::RequestHead& head, body_source& source, answer_sink& sink);

    const clock& m_clock;
    work_gate& m_gate;
    const snapshot_cell<fleet_view>& m_view;
    action_forwarder& m_forward;
};

} // namespace galenaroad
