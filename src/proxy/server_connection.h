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

    /// @param request the request that the connection carries.
    explicit server_connection(Poco::Net::HTTPServerRequest& request);

    void limit_wait(std::chrono::milliseconds wait) override;
    int get_byte() override;
    int read_bytes(char* buffer, int capacity) override;

    /// Closes both directions.
    void shut_down();

private:
    Poco::Net::HTTPServerSession& m_session;
};

} // namespace galenaroad
