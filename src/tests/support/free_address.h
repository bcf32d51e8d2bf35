#pragma once

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <string>

namespace galenaroad {

/// @return a loopback address whose port was free a moment ago, so that tests can run in parallel.
inline std::string free_address()
{
    Poco::Net::ServerSocket socket;
    socket.bind(Poco::Net::SocketAddress("127.0.0.1:0"), true, false);
    return socket.address().toString();
}

} // namespace galenaroad
