#pragma once

#include <Poco/Net/HTTPClientSession.h>

namespace galenaroad {

/// HTTP session that knows whether a failure happened before its connection was established.
class store_http_session : public Poco::Net::HTTPClientSession {
public:
    using Poco::Net::HTTPClientSession::HTTPClientSession;

    /// @return true while no attempt to connect is unfinished or has failed.
    bool connection_established() const { return m_established; }

protected:
    void connect(const Poco::Net::SocketAddress& address) override
    {
        m_established = false;
        Poco::Net::HTTPClientSession::connect(address);
        m_established = true;
    }

private:
    bool m_established = true;
};

} // namespace galenaroad
