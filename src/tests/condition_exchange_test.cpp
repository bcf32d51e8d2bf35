#include "net/ip_endpoint.h"
#include "relay/condition_message.h"
#include "support/relay_test_fleet.h"

#include <Poco/Net/DatagramSocket.h>
#include <array>
#include <catch2/catch.hpp>

using namespace galenaroad;

namespace {

/// A daemon that only listens to what others tell it.
struct listener {
    Poco::Net::DatagramSocket socket;

    explicit listener(const std::string& address) : socket(*ip_endpoint::parse(address))
    {
        socket.setReceiveTimeout(Poco::Timespan(2, 0));
    }

    std::vector<condition_item> receive()
    {
        std::array<char, condition_message::max_bytes> buffer{};
        Poco::Net::SocketAddress sender;
        const int size = socket.receiveFrom(buffer.data(), static_cast<int>(buffer.size()), sender);
        const std::string_view bytes(buffer.data(), static_cast<std::size_t>(size));
        return condition_message::decode(bytes).value_or(std::vector<condition_item>{});
    }

    void send(const std::string& address, const std::string& bytes)
    {
        socket.sendTo(bytes.data(), static_cast<int>(bytes.size()), *ip_endpoint::parse(address));
    }
};

} // namespace

TEST_CASE("condition_exchange: tells the daemons of its data centre what owners told it", "[relay]")
{
    // Guards against each daemon meeting a failing upstream by itself.
    relay_test_fleet fleet;
    relay_test_node neighbour(fleet.loop, fleet.shared, fleet.log, "c", "dc-a");
    listener at_neighbour(neighbour.peer_address);
    listener at_other(fleet.b->peer_address);
    fleet.a->announce();
    fleet.b->announce();
    neighbour.announce();
    CHECK(fleet.send("GET", "/safe/x").status == 200);
    fleet.run_for(400ms);
    const auto items = at_neighbour.receive();
    REQUIRE(items.size() == 1);
    const auto* const owner = fleet.a->node.owners().find(items[0].owner);
    REQUIRE(owner != nullptr);
    CHECK(owner->service == "s");
    CHECK(items[0].condition.accepts_requests);
    CHECK(at_other.socket.available() == 0);
}

TEST_CASE("condition_exchange: anything may arrive at its port", "[relay]")
{
    // Guards against a daemon that ends, or is steered, by bytes that are no message.
    relay_test_fleet fleet;
    fleet.b->announce();
    fleet.run_for(100ms);
    listener stranger(free_address());
    stranger.send(fleet.a->listen_address, "");
    stranger.send(fleet.a->listen_address, "GET / HTTP/1.1");
    stranger.send(fleet.a->listen_address, std::string(1300, '\xff'));
    const std::vector<condition_item> unknown{{"10.9.9.9:1", {1, 0, false}, 0ms}};
    stranger.send(fleet.a->listen_address, condition_message::encode(unknown));
    fleet.run_for(100ms);
    CHECK(fleet.send("GET", "/safe/").status == 200);
}
