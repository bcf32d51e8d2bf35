#include "net/ip_endpoint.h"
#include "support/account_test_fleet.h"

#include <Poco/Net/DatagramSocket.h>
#include <array>
#include <catch2/catch.hpp>

using namespace galenaroad;

namespace {

/// Forwards datagrams between a node's listen address and the address at which peers reach it.
class datagram_link {
public:
    datagram_link(event_loop& loop, const relay_test_node& node)
        : m_loop(loop),
          m_listen_address(*ip_endpoint::parse(node.listen_address)),
          m_socket(*ip_endpoint::parse(node.peer_address))
    {
        m_loop.watch(m_socket, socket_interest::read, [this](auto) { forward(); });
    }
    datagram_link(const datagram_link&) = delete;
    datagram_link& operator=(const datagram_link&) = delete;
    datagram_link(datagram_link&&) = delete;
    datagram_link& operator=(datagram_link&&) = delete;
    ~datagram_link() { m_loop.unwatch(m_socket); }

    int forwarded = 0;

private:
    void forward()
    {
        std::array<char, datagram_channel::max_bytes> buffer{};
        Poco::Net::SocketAddress sender;
        const int size =
            m_socket.receiveFrom(buffer.data(), static_cast<int>(buffer.size()), sender);
        ++forwarded;
        if (sender == m_listen_address) {
            m_socket.sendTo(buffer.data(), size, m_peer);
            return;
        }
        m_peer = sender;
        m_socket.sendTo(buffer.data(), size, m_listen_address);
    }

    event_loop& m_loop;
    Poco::Net::SocketAddress m_listen_address;
    Poco::Net::SocketAddress m_peer;
    Poco::Net::DatagramSocket m_socket;
};

/// Two nodes that have run for long enough to hold accounts. Each account may send three requests
/// at once.
struct quota_test_fleet : account_test_fleet {
    std::unique_ptr<datagram_link> link_a = std::make_unique<datagram_link>(loop, *a);
    std::unique_ptr<datagram_link> link_b = std::make_unique<datagram_link>(loop, *b);

    quota_test_fleet()
    {
        for (auto& each : accounts) {
            each.quota = {0.5, 3};
        }
        publish_plan();
        a->announce();
        b->announce();
        run_for(8s);
    }

    std::map<int, int> statuses_of(const std::string& key, int requests,
                                   const std::string& target = "/once/x")
    {
        std::map<int, int> counts;
        for (int each = 0; each < requests; ++each) {
            ++counts[call_with_key("POST", target, key)->response.status];
        }
        return counts;
    }
};

} // namespace

TEST_CASE("entry_quota: requests beyond the quota get 429 and do not run", "[relay][quota]")
{
    // Guards against an account that sends more than its quota, and against a 429 that does not say
    // when to retry.
    quota_test_fleet fleet;
    for (const std::string key : {"key-1", "key-urgent", "key-other"}) {
        const auto before = fleet.a->upstream.requests.size() + fleet.b->upstream.requests.size();
        const auto counts = fleet.statuses_of(key, 8);
        CHECK(counts.at(200) == 3);
        CHECK(counts.at(429) == 5);
        CHECK(fleet.a->upstream.requests.size() + fleet.b->upstream.requests.size() == before + 3);
    }
    const auto refused = fleet.call_with_key("POST", "/once/x", "key-1")->response;
    CHECK(refused.status == 429);
    CHECK(http_head::find(refused.fields, "Retry-After").has_value());
    // With three accounts and two nodes, at least one is held by the other node or by this one.
    fleet.run_for(2100ms);
    CHECK(fleet.statuses_of("key-1", 1).count(200) == 1);
}

TEST_CASE("entry_quota: requests without an account and accounts without a quota are free",
          "[relay][quota]")
{
    // Guards against messages and waits in deployments that have no quotas.
    quota_test_fleet fleet;
    for (auto& each : fleet.accounts) {
        each.quota = {};
    }
    fleet.publish_plan();
    CHECK(fleet.statuses_of("key-1", 10)[200] == 10);
    CHECK(fleet.send("GET", "/download/x").status == 200);
    CHECK(fleet.link_a->forwarded == 0);
    CHECK(fleet.link_b->forwarded == 0);
}

TEST_CASE("entry_quota: the token of a request that has not run comes back", "[relay][quota]")
{
    // Guards against an account whose quota is used up by requests that upstreams have refused.
    quota_test_fleet fleet;
    const auto reject = [](auto& client) {
        relay_test_upstream::respond(client, 503, "", {{"X-Not-Run", "1"}});
    };
    fleet.a->upstream.handler = reject;
    fleet.b->upstream.handler = reject;
    for (int round = 0; round < 4; ++round) {
        CHECK(fleet.statuses_of("key-1", 2)[503] == 2);
        fleet.run_for(150ms);
    }
}

TEST_CASE("entry_quota: a client that leaves before it has a token uses none", "[relay][quota]")
{
    // Guards against an exchange that is used after its end.
    quota_test_fleet fleet;
    for (int each = 0; each < 10; ++each) {
        const auto call = fleet.begin(fleet.request_with_key("POST", "/once/x", "key-1"), [] {});
        fleet.run_for(1ms);
        call->exchange->cancel();
    }
    fleet.run_for(200ms);
    CHECK(fleet.call_with_key("POST", "/once/x", "key-other")->response.status == 200);
}

TEST_CASE("entry_quota: without a response of the holder the next daemon grants a part",
          "[relay][quota]")
{
    // Guards against requests that hang, or an account that is not limited, while its holder is
    // silent.
    quota_test_fleet fleet;
    fleet.link_a.reset();
    fleet.link_b.reset();
    for (const std::string key : {"key-1", "key-urgent", "key-other"}) {
        const auto start = fleet.time.steady_now();
        CHECK(fleet.call_with_key("POST", "/once/x", key)->response.status == 200);
        CHECK(fleet.time.steady_now() - start < 600ms);
        const auto counts = fleet.statuses_of(key, 12);
        CHECK(counts.count(200) == 1);
        CHECK(counts.at(200) <= 4);
    }
}
