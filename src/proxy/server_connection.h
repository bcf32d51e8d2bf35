#pragma once

#include "proxy/byte_input.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerSession.h>

namespace galenaroad {

/// Raw access to the connection of a caller's request, past POCO's body streams.
class server_connection : public byte_input {
public:
    /// A caller that takes no byte of its response for this time has gone.
    static constexpr auto send_timeout = std::chrono::milliseconds(10'000);

    /// Longest time and greatest number of bytes of discard_input().
    static constexpr auto discard_time = std::chrono::milliseconds(500);
    static constexpr std::size_t max_discarded_bytes = std::size_t{8} * 1024 * 1024;

    /// @param request the request that the connection carries.
    explicit server_connection(Poco::Net::HTTPServerRequest& request);

    void limit_wait(std::chrono::milliseconds wait) override;
    int next_byte() override;
    int read_bytes(char* buffer, int capacity) override;

    /// Discards what the caller still sends, for a short time, after the whole response was sent.
    ///
    /// Closing a connection with unread bytes resets it, and the caller could lose the response.
    void discard_input();

    /// Closes both directions.
    void shut_down();

private:
    Poco::Net::HTTPServerSession& m_session;
};

} // namespace galenaroad
