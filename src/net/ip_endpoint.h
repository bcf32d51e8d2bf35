#pragma once

#include <Poco/Net/SocketAddress.h>
#include <optional>
#include <string>

namespace galenaroad {

/// Parses IP addresses with a port. Unlike POCO's parser, it never resolves host names, which
/// would block the event loop.
class ip_endpoint {
public:
    /// @param text IP address and port, for example `10.0.0.1:80`.
    /// @return the address, or nothing when the text is not valid.
    static std::optional<Poco::Net::SocketAddress> parse(const std::string& text);
};

} // namespace galenaroad
