#include "relay/plan_server.h"

#include "base/deflate_codec.h"
#include "support/large_plan_text.h"
#include "support/store_test_fleet.h"

#include <catch2/catch.hpp>

using namespace galenaroad;
using namespace std::chrono_literals;

namespace {

/// A daemon with a plan of several pages, and peers that ask it for them.
struct serving_daemon {
    static constexpr int routes = 1200; ///< Three pages.

    process_clock time;
    event_loop loop{time};
    decision_log log{time};
    std::string store_address = free_address();
    soak_store rows{loop, store_address, std::mt19937_64(1)};
    http_client client{loop};
    std::unique_ptr<store_test_node> node;

    serving_daemon()
    {
        structured_log::configure("test", "", log_level::error);
        rows.write(wire::operator_table, wire::plan_key, large_plan_text(1, routes));
        node = std::make_unique<store_test_node>(loop, log, store_address, "dc", 1);
        run_for(2s);
        REQUIRE(node->plan_version() == 1);
    }

    void run_for(std::chrono::milliseconds limit)
    {
        loop.after(limit, [this] { loop.stop(); });
        loop.run();
    }

    struct response {
        int status = 0;
        std::string body;
    };

    /// Requests a page in the name of a peer.
    response request(const std::string& peer, const std::string& position, std::uint64_t base = 0)
    {
        client_request http_request;
        http_request.head.method = "GET";
        http_request.head.target =
            plan_page_codec::encode(plan_page_request{base, 1, position, peer});
        http_request.head.fields = {{"Host", "h"}};
        response received;
        client_hooks hooks;
        hooks.head = [&](const auto& head) { received.status = head.status; };
        hooks.body = [&](std::string_view bytes) { received.body.append(bytes); };
        hooks.complete = [this] { loop.stop(); };
        hooks.failed = [this](exchange_error) { loop.stop(); };
        const auto call =
            client.send(node->peer_address, std::move(http_request), std::move(hooks));
        loop.run();
        return received;
    }

    /// Requests all pages in the name of a peer.
    /// @return number of pages.
    int fetch_all(const std::string& peer)
    {
        int pages = 0;
        std::string position;
        do {
            const auto received = request(peer, position);
            REQUIRE(received.status == 200);
            const auto page = plan_page_codec::decode_page(received.body);
            REQUIRE(page.has_value());
            CHECK(page->position == position);
            position = page->next_position;
            ++pages;
        } while (!position.empty());
        return pages;
    }
};

} // namespace

TEST_CASE("plan_server: two peers at a time get a plan of several pages", "[relay]")
{
    // Guards against a daemon that sends a large plan to its whole data centre at once, so that its
    // link is busy until the last peer has it.
    serving_daemon daemon;
    CHECK(daemon.fetch_all("peer-1") > 1);
    CHECK(daemon.request("peer-2", "").status == 200);
    CHECK(daemon.request("peer-3", "").status == 200);
    const auto refused = daemon.request("peer-4", "");
    CHECK(refused.status == 503);
    CHECK(plan_page_codec::decode_refusal(refused.body).holders ==
          std::vector<std::string>{"peer-1"});
    // A peer that has begun goes on, and one that has stopped asking makes room.
    CHECK(daemon.request("peer-2", "").status == 200);
    daemon.run_for(600ms);
    CHECK(daemon.request("peer-4", "").status == 200);
}

TEST_CASE("plan_server: a peer that has the plan gets nothing", "[relay]")
{
    // Guards against pages that are sent to peers that do not need them.
    serving_daemon daemon;
    CHECK(daemon.request("peer-1", "", 1).status == 204);
    CHECK(daemon.request("peer-1", "", 7).status == 204);
}

TEST_CASE("plan_server: one more key is sent as its account", "[relay]")
{
    // Guards against a change of one key that costs as much as the table of accounts, and against
    // keys that daemons tell each other.
    constexpr std::size_t max_page_bytes = 512;
    constexpr std::size_t max_text_bytes = 10'000;
    constexpr int accounts = 600;
    serving_daemon daemon;
    auto plan = nlohmann::json::parse(large_plan_text(2, serving_daemon::routes));
    for (int index = 0; index < accounts; ++index) {
        const auto name = "account-" + std::to_string(index);
        plan["tenants"][name]["api_keys"] = {"secret-" + name};
    }
    daemon.rows.write(wire::operator_table, wire::plan_key, plan.dump());
    daemon.run_for(2s);
    REQUIRE(daemon.node->plan_version() == 2);
    plan["version"] = 3;
    plan["tenants"]["account-7"]["api_keys"].push_back("secret-more");
    daemon.rows.write(wire::operator_table, wire::plan_key, plan.dump());
    daemon.run_for(2s);
    REQUIRE(daemon.node->plan_version() == 3);
    const auto received = daemon.request("peer-1", "", 2);
    REQUIRE(received.status == 200);
    CHECK(received.body.size() < max_page_bytes);
    const auto text = deflate_codec::decompress(received.body, max_text_bytes);
    REQUIRE(text.has_value());
    CHECK(text->find("secret") == std::string::npos);
    const auto page = plan_page_codec::decode_page(received.body);
    REQUIRE(page.has_value());
    CHECK(page->part.routes.empty());
    REQUIRE(page->part.accounts.size() == 1);
    CHECK(page->part.accounts.front().keys.back() == api_key_digest::of("secret-more"));
}
