#pragma once

#include "action/recorded_response.h"
#include "proxy/answer_sink.h"

#include <optional>
#include <string>

namespace galenaroad {

/// Passes a response on and keeps a copy, so that a caller who asks again receives the same one.
///
/// It goes on when the caller is gone: the response is then known for the next request. The last
/// part is held until flush(), so that the response can be recorded before the caller has it all.
class recording_sink : public answer_sink {
public:
    /// @param next receives the response; must outlive this object.
    explicit recording_sink(answer_sink& next);

    bool begin(const answer_head& head) override;
    bool write(std::string_view bytes) override;

    /// Passes on the part that is held. To be called once the response is complete.
    void flush();

    /// @return true when the receiver of the response went away.
    bool is_receiver_gone() const { return m_receiver_gone; }

    /// @return the copy. A body beyond action_gate::max_recorded_body_bytes is kept only so far
    /// that the gate sees that it is too large.
    const recorded_response& copy() const { return m_copy; }

private:
    answer_sink& m_next;
    recorded_response m_copy;
    std::optional<answer_head> m_held_head;
    std::string m_held_bytes;
    bool m_receiver_gone = false;
};

} // namespace galenaroad
