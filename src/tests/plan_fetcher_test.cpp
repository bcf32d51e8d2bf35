#include "relay/plan_fetcher.h"

#include "relay/plan_change_source.h"
#include "support/relay_test_fleet.h"
#include "support/test_plans.h"

#include <catch2/catch.hpp>

using namespace galenaroad;
using namespace std::chrono_literals;

namespace {

constexpr int routes = 2000; ///< Some pages.

std::map<std::string, std::string> make_contents(const std::string& service)
{
    std::map<std::string, std::string> contents;
    for (int index = 0; index < routes; ++index) {
        contents["route-" + std::to_string(index)] = service;
    }
    return contents;
}

/// A peer with a plan whose responses to requests for pages are chosen by the test.
class page_peer {
public:
    using request_handler = std::function<void(page_peer&, server_exchange&)>;

    page_peer(event_loop& loop, request_handler handler)
        : m_handler(std::move(handler)), m_server(loop, {}, [this](const auto& client) {
              m_clients.push_back(client);
              m_handler(*this, *client);
          })
    {
        m_server.listen(address);
    }

    /// Responds with the requested page, as a daemon does.
    void send_page(server_exchange& client)
    {
        const auto request = plan_page_codec::decode_request(client.head().target);
        REQUIRE(request.has_value());
        positions.push_back(request->position);
        bases.push_back(request->base_version);
        plan_change_source source(plans, request->base_version);
        http_response_head head;
        head.status = 200;
        client.respond(std::move(head), source.page(request->position).text());
    }

    static void refuse(server_exchange& client, const std::string& holder)
    {
        http_response_head head;
        head.status = 503;
        client.respond(std::move(head), plan_page_codec::encode(plan_page_refusal{{holder}}));
    }

    std::string address = free_address();
    plan_replica plans;
    std::vector<std::string> positions; ///< Of the pages sent.
    std::vector<std::uint64_t> bases;   ///< Asked for with these pages.

private:
    request_handler m_handler;
    std::vector<std::shared_ptr<server_exchange>> m_clients; ///< Open until the end of the test.
    http_server m_server;
};

} // namespace

TEST_CASE("plan_fetcher: another peer continues where a peer has fallen silent", "[relay]")
{
    // Guards against a large plan that is fetched from the beginning whenever a connection breaks,
    // and against a wait for a suspended peer.
    relay_test_fleet fleet;
    page_peer silent(fleet.loop, [](page_peer& peer, server_exchange& client) {
        if (peer.positions.size() < 2) {
            peer.send_page(client);
        }
    });
    page_peer other(fleet.loop,
                    [](page_peer& peer, server_exchange& client) { peer.send_page(client); });
    for (auto* const each : {&silent, &other}) {
        each->plans.replace(make_test_plan(2, make_contents("s")));
    }
    fleet.report_plan(2, silent.address);
    fleet.report_plan(2, other.address);
    fleet.run_for(1s);
    CHECK(fleet.a->node.plan()->version() == 2);
    CHECK(fleet.a->node.plan()->route_count() == routes);
    REQUIRE(silent.positions.size() == 2);
    REQUIRE_FALSE(other.positions.empty());
    CHECK_FALSE(other.positions.front().empty());
}

TEST_CASE("plan_fetcher: a refusal leads to the peers that have the plan", "[relay]")
{
    // Guards against daemons that wait for the one peer which has reported the plan, so that it
    // serves a whole data centre.
    relay_test_fleet fleet;
    page_peer holder(fleet.loop,
                     [](page_peer& peer, server_exchange& client) { peer.send_page(client); });
    holder.plans.replace(make_test_plan(2, make_contents("s")));
    page_peer busy(fleet.loop, [&](page_peer&, server_exchange& client) {
        page_peer::refuse(client, holder.address);
    });
    fleet.report_plan(2, busy.address);
    fleet.run_for(1s);
    CHECK(fleet.a->node.plan()->version() == 2);
    CHECK_FALSE(holder.positions.empty());
}

TEST_CASE("plan_fetcher: the whole plan is fetched when a change does not fit", "[relay]")
{
    // Guards against a daemon that keeps a route which its peer has never had, and against one that
    // asks for the same change again and again.
    relay_test_fleet fleet;
    page_peer peer(fleet.loop,
                   [](page_peer& sender, server_exchange& client) { sender.send_page(client); });
    // The peer's version 1 is not that of the node, so the change does not lead to its version 2.
    peer.plans.replace(make_test_plan(1, make_contents("s")));
    peer.plans.replace(make_test_plan(2, {{"route-0", "t"}}));
    fleet.report_plan(2, peer.address);
    fleet.run_for(2s);
    CHECK(fleet.a->node.plan()->version() == 2);
    CHECK(fleet.a->node.plan()->route_count() == 1);
    REQUIRE(peer.bases.size() >= 2);
    CHECK(peer.bases.front() == 1);
    CHECK(peer.bases.back() == 0);
}
