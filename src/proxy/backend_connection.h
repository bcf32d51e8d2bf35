#pragma once

#include "base/clock.h"
#include "proxy/byte_input.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/SocketAddress.h>
#include <chrono>
#include <string>

namespace galenaroad {

/// One HTTP connection to a backend server. Used by one request at a time.
class backend_connection : public byte_input, private Poco::Net::HTTPClientSession {
public:
    /// @param address IP address and port of the backend server.
    explicit backend_connection(const std::string& address);

    /// Connects. Nothing has been sent when it fails.
    /// @param timeout the longest wait.
    /// @return true when connected.
    bool open(std::chrono::milliseconds timeout);

    /// Sends the head of a request.
    /// @param request the head, with its framing set.
    /// @throw Poco::Exception when the connection failed.
    void send_head(Poco::Net::HTTPRequest& request);

    /// Sends a part of the body of a request; a chunked body ends with finish_request().
    /// @param bytes the part.
    /// @param size its size.
    /// @return false when the connection failed.
    bool send_body(const char* bytes, std::size_t size);

    /// Completes the request and sends what is still buffered.
    /// @return false when the connection failed.
    bool finish_request();

    /// Waits for bytes of the response or the end of the connection.
    /// @param wait the longest wait.
    /// @return true when there is something to read.
    bool wait_readable(std::chrono::milliseconds wait);

    /// Reads the head of the final response; interim responses are skipped.
    /// @param response receives the head.
    /// @return false when the status is not one of a final response.
    /// @throw Poco::Exception when the connection failed or the head is malformed.
    bool receive_head(Poco::Net::HTTPResponse& response);

    /// Breaks the connection at once. The backend server then sees an incomplete request, also
    /// when the library closes a chunked body afterwards.
    void abandon();

    /// @return true when bytes or an end arrived while no response was expected.
    bool has_stray_input();

    /// @return IP address and port of the backend server.
    const std::string& address() const { return m_address; }

    void limit_wait(std::chrono::milliseconds wait) override;
    int next_byte() override;
    int read_bytes(char* buffer, int capacity) override;

    bool reused = false;    ///< The connection has carried a complete exchange before.
    steady_time idle_since; ///< When it was returned to the pool.

private:
    // Reconnection by the library would hide that a request was sent on a new connection.
    bool mustReconnect() const override { return false; }
    void read_head(Poco::Net::HTTPResponse& response);
    int write(const char* buffer, std::streamsize length) override;

    std::string m_address;
    std::ostream* m_body = nullptr;
};

} // namespace galenaroad
