#pragma once

#include "proxy/body_source.h"

#include <string>

namespace galenaroad {

/// Keeps the start of a body, so that a further attempt can send it again.
class replayable_body : public body_source {
public:
    /// Longer bodies are streamed once; a failed attempt is then final.
    static constexpr std::size_t default_kept_bytes = std::size_t{64} * 1024;

    /// @param source the body; must outlive this object.
    /// @param max_kept_bytes the greatest length of a body that is kept.
    explicit replayable_body(body_source& source, std::size_t max_kept_bytes = default_kept_bytes);

    body_read read(char* buffer, std::size_t capacity) override;

    /// Starts again from the first byte. Allowed only while is_replayable().
    void rewind() { m_position = 0; }

    /// @return true while all bytes that were read are still kept.
    bool is_replayable() const { return m_replayable; }

    /// Reads the whole body, when it is short enough to be kept.
    /// @return the state of the body; `more` when it is too long.
    body_state read_all();

    /// @return the bytes that are kept.
    const std::string& kept() const { return m_kept; }

private:
    body_read replay(char* buffer, std::size_t capacity);
    void keep(const char* buffer, std::size_t size);

    body_source& m_source;
    std::size_t m_max_kept_bytes;
    std::string m_kept;
    std::size_t m_position = 0;
    bool m_replayable = true;
    body_state m_source_state = body_state::more;
};

} // namespace galenaroad
