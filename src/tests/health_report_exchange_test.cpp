#include "net/ip_endpoint.h"
#include "relay/health_report_codec.h"
#include "support/relay_test_fleet.h"

#include <Poco/Net/DatagramSocket.h>
#include <array>
#include <catch2/catch.hpp>

using namespace galenaroad;

namespace {

/// The UDP socket of a daemon that only receives messages.
struct datagram_receiver {
    Poco::Net::DatagramSocket socket;

    explicit datagram_receiver(const std::string& address) : socket(*ip_endpoint::parse(address))
    {
        socket.setReceiveTimeout(Poco::Timespan(2, 0));
    }

    std::vector<relayed_report> receive()
    {
        std::array<char, health_report_codec::max_bytes> buffer{};
        Poco::Net::SocketAddress sender;
        const int size = socket.receiveFrom(buffer.data(), static_cast<int>(buffer.size()), sender);
        const std::string_view bytes(buffer.data(), static_cast<std::size_t>(size));
        return health_report_codec::decode(bytes).value_or(std::vector<relayed_report>{});
    }

    void send(const std::string& address, const std::string& bytes)
    {
        socket.sendTo(bytes.data(), static_cast<int>(bytes.size()), *ip_endpoint::parse(address));
    }
};

} // namespace

TEST_CASE("health_report_exchange: relays reports of owners to the daemons of its data centre",
          "[relay]")
{
    // Guards against daemons that each detect a failing upstream only by their own requests.
    relay_test_fleet fleet;
    relay_test_node local_peer(fleet.loop, fleet.shared, fleet.log, "c", "dc-a");
    datagram_receiver local_receiver(local_peer.peer_address);
    datagram_receiver remote_receiver(fleet.b->peer_address);
    fleet.a->announce();
    fleet.b->announce();
    local_peer.announce();
    CHECK(fleet.send("GET", "/safe/x").status == 200);
    fleet.run_for(400ms);
    const auto reports = local_receiver.receive();
    REQUIRE(reports.size() == 1);
    const auto* const owner = fleet.a->node.owners().find(reports[0].owner);
    REQUIRE(owner != nullptr);
    CHECK(owner->service == "s");
    CHECK(reports[0].health.accepts_requests);
    CHECK(remote_receiver.socket.available() == 0);
}

TEST_CASE("health_report_exchange: invalid messages have no effect", "[relay]")
{
    // Guards against a daemon that terminates, or changes its choice of owners, on an invalid
    // message or one about an unknown owner.
    relay_test_fleet fleet;
    fleet.b->announce();
    fleet.run_for(100ms);
    datagram_receiver foreign_sender(free_address());
    foreign_sender.send(fleet.a->listen_address, "");
    foreign_sender.send(fleet.a->listen_address, "GET / HTTP/1.1");
    foreign_sender.send(fleet.a->listen_address, std::string(1300, '\xff'));
    const std::vector<relayed_report> unknown_owner{{"10.9.9.9:1", {1, 0, false}, 0ms}};
    foreign_sender.send(fleet.a->listen_address, health_report_codec::encode(unknown_owner));
    fleet.run_for(100ms);
    CHECK(fleet.send("GET", "/safe/").status == 200);
}
