#pragma once

#include "action/recorded_response.h"
#include "proxy/answer_sink.h"

namespace galenaroad {

/// Passes a response on and keeps a copy, so that a caller who asks again receives the same one.
///
/// It goes on when the caller is gone: the response is then known for the next request.
class recording_sink : public answer_sink {
public:
    /// @param next receives the response; must outlive this object.
    explicit recording_sink(answer_sink& next);

    bool begin(const answer_head& head) override;
    bool write(std::string_view bytes) override;

    /// @return true when the receiver of the response went away.
    bool is_receiver_gone() const { return m_receiver_gone; }

    /// @return the copy. A body beyond action_gate::max_recorded_body_bytes is kept only so far
    /// that the gate sees that it is too large.
    recorded_response take() { return std::move(m_copy); }

private:
    answer_sink& m_next;
    recorded_response m_copy;
    bool m_receiver_gone = false;
};

} // namespace galenaroad
