#pragma once

#include <memory>
#include <string>

namespace galenaroad {

/// Immutable bytes of a message body. Copies share the bytes, so that a request sent to several
/// owners is held in memory once.
class shared_body {
public:
    shared_body() = default;

    /// @param bytes the body.
    shared_body(std::string bytes)
        : m_bytes(bytes.empty() ? nullptr : std::make_shared<const std::string>(std::move(bytes)))
    {
    }

    /// @param bytes the body.
    shared_body(const char* bytes) : shared_body(std::string(bytes)) {}

    /// @return the bytes; valid while any copy of the body exists.
    const std::string& text() const
    {
        static const std::string empty;
        return m_bytes ? *m_bytes : empty;
    }

    /// @return number of bytes.
    std::size_t size() const { return m_bytes ? m_bytes->size() : 0; }

private:
    std::shared_ptr<const std::string> m_bytes;
};

} // namespace galenaroad
