#pragma once

#include <chrono>

namespace galenaroad {

/// Received bytes of one HTTP connection, after the message's head.
///
/// Reads return -1 or 0 at the end of the connection and throw Poco::TimeoutException after the
/// longest wait.
class byte_input {
public:
    byte_input() = default;
    byte_input(const byte_input&) = delete;
    byte_input& operator=(const byte_input&) = delete;
    byte_input(byte_input&&) = delete;
    byte_input& operator=(byte_input&&) = delete;
    virtual ~byte_input() = default;

    /// Sets the longest wait of a read.
    /// @param wait the longest wait; more than zero.
    virtual void limit_wait(std::chrono::milliseconds wait) = 0;

    /// @return the next byte, or a negative number at the end.
    virtual int next_byte() = 0;

    /// Reads at least one byte.
    /// @param buffer receives the bytes.
    /// @param capacity the buffer's size.
    /// @return the number of bytes; 0 or less at the end.
    virtual int read_bytes(char* buffer, int capacity) = 0;
};

} // namespace galenaroad
