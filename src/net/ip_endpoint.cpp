#include "net/ip_endpoint.h"

#include "net/http_head.h"

#include <Poco/Net/IPAddress.h>
#include <limits>

namespace galenaroad {

std::optional<Poco::Net::SocketAddress> ip_endpoint::parse(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return {};
    }
    auto host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    const auto port = http_head::parse_number(std::string_view(text).substr(colon + 1));
    Poco::Net::IPAddress address;
    if (!port || *port > std::numeric_limits<std::uint16_t>::max() ||
        !Poco::Net::IPAddress::tryParse(host, address)) {
        return {};
    }
    return Poco::Net::SocketAddress(address, static_cast<std::uint16_t>(*port));
}

} // namespace galenaroad
