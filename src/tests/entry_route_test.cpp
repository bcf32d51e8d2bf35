#include "relay/entry_route.h"

#include "net/header_rules.h"
#include "support/account_test_fleet.h"

#include <catch2/catch.hpp>

using namespace galenaroad;
using namespace std::chrono_literals;

namespace {

/// Acts as the only owner of the fleet, and records what entries send to it.
struct recording_owner {
    relay_test_upstream server;

    explicit recording_owner(relay_test_fleet& fleet) : server(fleet.loop)
    {
        owner_record record;
        record.address = server.address;
        record.data_centre = "dc-a";
        record.region = "region";
        record.revision = 1;
        record.upstream_id = "i-recording";
        record.service = "s";
        record.state = announced_state::ready;
        fleet.shared.publish(record);
    }

    attempt_metadata latest_metadata() const
    {
        const auto text = field_of(server.requests.back(), attempt_metadata::header);
        return relay_message_codec::decode_metadata(text).value_or(attempt_metadata());
    }
};

/// Counts the fields of a request that must not carry a key or a name chosen by the client.
long count_fields(const server_exchange& request, std::string_view name)
{
    const auto& fields = request.head().fields;
    return std::count_if(fields.begin(), fields.end(), [&](const auto& each) {
        return header_rules::same_name(each.name, name);
    });
}

bool contains_text(const server_exchange& request, std::string_view text)
{
    const auto& fields = request.head().fields;
    return std::any_of(fields.begin(), fields.end(), [&](const auto& each) {
        return each.value.find(text) != std::string::npos;
    });
}

double refusals(relay_test_node& node, const std::string& reason)
{
    return node.metrics
        .counter("galenaroad_identity_refusals_total",
                 "Requests that could not be attributed to a client account.", {{"reason", reason}})
        .Value();
}

} // namespace

TEST_CASE("entry_route: the response tells first what the client has to correct", "[relay]")
{
    // Guards against a client that repeats a request which cannot succeed, or gives up one that
    // can, and against a refusal without a challenge.
    account_test_fleet fleet;
    CHECK(fleet.call_with_key("GET", "/none/", "unknown")->response.status == 404);
    const auto refused = fleet.call_with_key("GET", "/safe/x", "unknown")->response;
    CHECK(refused.status == 401);
    CHECK(http_head::find(refused.fields, "WWW-Authenticate") == "Bearer");
    CHECK_FALSE(http_head::find(refused.fields, "Retry-After").has_value());
    CHECK(fleet.send("GET", "/safe/x").status == 401);
    const auto without_owner = fleet.call_with_key("GET", "/safe/x", "key-1")->response;
    CHECK(without_owner.status == 503);
    CHECK(http_head::find(without_owner.fields, "Retry-After").has_value());
    CHECK(refusals(*fleet.a, "unknown_key") == 1);
    CHECK(refusals(*fleet.a, "no_key") == 1);
}

TEST_CASE("entry_route: a refused request leaves its connection usable", "[relay]")
{
    // Guards against a body that is read as the next request after a 401.
    account_test_fleet fleet;
    fleet.b->announce();
    auto upload = fleet.request_with_key("POST", "/once/x", "unknown");
    upload.body = std::string(300000, 'x');
    CHECK(fleet.call(std::move(upload))->response.status == 401);
    const auto next = fleet.call_with_key("POST", "/once/x", "key-1");
    CHECK(next->exchange->is_reused());
    CHECK(next->response.status == 200);
    REQUIRE(fleet.b->upstream.requests.size() == 1);
    CHECK(fleet.b->upstream.requests.front()->body() == "order");
}

TEST_CASE("entry_route: a removed key ends to work on a connection that stays open", "[relay]")
{
    // Guards against a daemon that identifies connections rather than requests.
    account_test_fleet fleet;
    fleet.b->announce();
    CHECK(fleet.call_with_key("GET", "/safe/x", "key-2")->response.status == 200);
    fleet.accounts.front().keys.pop_back();
    fleet.publish_plan();
    const auto refused = fleet.call_with_key("GET", "/safe/x", "key-2");
    CHECK(refused->exchange->is_reused());
    CHECK(refused->response.status == 401);
    const auto accepted = fleet.call_with_key("GET", "/safe/x", "key-1");
    CHECK(accepted->exchange->is_reused());
    CHECK(accepted->response.status == 200);
    CHECK(fleet.b->upstream.requests.size() == 2);
}

TEST_CASE("entry_route: upstreams receive the account's name in place of the key", "[relay]")
{
    // Guards against a key that reaches an upstream, and against a client that names its account
    // itself, on the first attempt or a later one.
    account_test_fleet fleet;
    fleet.a->announce();
    fleet.b->announce();
    fleet.a->upstream.handler = [](auto& client) { client.abort(); };
    auto spoofed = fleet.request_with_key("GET", "/safe/x", "key-1");
    spoofed.head.fields.push_back({"x-client-account", "other"});
    spoofed.head.fields.push_back({"X-Client-Account", "urgent"});
    spoofed.head.fields.push_back({"Connection", "X-Client-Account"});
    CHECK(fleet.call(std::move(spoofed))->response.status == 200);
    REQUIRE(fleet.a->upstream.requests.size() == 1);
    REQUIRE(fleet.b->upstream.requests.size() == 1);
    for (const auto* const node : {fleet.a.get(), fleet.b.get()}) {
        const auto& received = *node->upstream.requests.front();
        CHECK(count_fields(received, "X-Client-Account") == 1);
        CHECK(http_head::find(received.head().fields, "X-Client-Account") == "first");
        CHECK_FALSE(contains_text(received, "key-1"));
    }
}

TEST_CASE("entry_route: a request without a key names no account", "[relay]")
{
    // Guards against a public route on which clients choose an account.
    account_test_fleet fleet;
    fleet.b->announce();
    auto spoofed = fleet.request("GET", "/download/x");
    spoofed.head.fields.push_back({"X-Client-Account", "urgent"});
    CHECK(fleet.call(std::move(spoofed))->response.status == 200);
    CHECK(fleet.call_with_key("GET", "/download/x", "key-1")->response.status == 200);
    CHECK(fleet.call_with_key("GET", "/download/x", "unknown")->response.status == 401);
    const auto& received = fleet.b->upstream.requests;
    REQUIRE(received.size() == 2);
    CHECK(count_fields(*received.front(), "X-Client-Account") == 0);
    CHECK(http_head::find(received.back()->head().fields, "X-Client-Account") == "first");
    CHECK(count_fields(*received.back(), "Authorization") == 0);
}

TEST_CASE("entry_route: without accounts requests are forwarded as they are", "[relay]")
{
    // Guards against deployments without accounts that lose fields which their upstreams use.
    relay_test_fleet fleet;
    fleet.b->announce();
    auto sent = fleet.request("GET", "/safe/x");
    sent.head.fields.push_back({"Authorization", "Basic abc"});
    sent.head.fields.push_back({"X-Client-Account", "mine"});
    const auto call = fleet.begin(std::move(sent), [&] { fleet.loop.stop(); });
    fleet.loop.run();
    CHECK(call->response.status == 200);
    REQUIRE(fleet.b->upstream.requests.size() == 1);
    const auto& received = fleet.b->upstream.requests.front();
    CHECK(field_of(received, "Authorization") == "Basic abc");
    CHECK(field_of(received, "X-Client-Account") == "mine");
}

TEST_CASE("entry_route: the account's priority takes precedence over the route's", "[relay]")
{
    // Guards against owners that queue requests by the route's priority, and against a key that is
    // sent to another daemon.
    account_test_fleet fleet;
    recording_owner owner(fleet);
    const auto metadata_for = [&](const std::string& key) {
        fleet.call_with_key("GET", "/safe/x", key);
        CHECK_FALSE(contains_text(*owner.server.requests.back(), key));
        return owner.latest_metadata();
    };
    CHECK(metadata_for("key-1").priority == 3);
    CHECK(metadata_for("key-1").account == "first");
    CHECK(metadata_for("key-urgent").priority == 0);
    CHECK(metadata_for("key-other").priority == 7);
    CHECK(metadata_for("key-other").account == "other");
}

TEST_CASE("entry_route: an unknown key is refused for a while by a daemon whose plan may be old",
          "[relay]")
{
    // Guards against a client with a new key that gives up because this daemon has not learned of
    // it while the store is away.
    account_test_fleet fleet;
    fleet.b->announce();
    fleet.shared.is_unreachable = true;
    fleet.run_for(1s);
    const auto unknown = fleet.call_with_key("GET", "/safe/x", "unknown")->response;
    CHECK(unknown.status == 503);
    CHECK(http_head::find(unknown.fields, "Retry-After") == "1.00");
    CHECK(fleet.call_with_key("GET", "/safe/x", "key-1")->response.status == 200);
    CHECK(fleet.send("GET", "/safe/x").status == 401);
}

TEST_CASE("entry_route: invented keys do not delay a client with a valid one", "[relay]")
{
    // Guards against a flood of unknown keys that delays other clients, adds metrics for each key,
    // or reaches upstreams and peers.
    account_test_fleet fleet;
    fleet.b->announce();
    constexpr int invented_keys = 5000;
    constexpr int connections = 8;
    int sent = 0;
    int refused = 0;
    std::vector<std::shared_ptr<relay_test_call>> flood(connections);
    std::function<void(int)> send_invented = [&](int connection) {
        if (flood[connection] && flood[connection]->response.status == 401) {
            ++refused;
        }
        if (sent == invented_keys) {
            return;
        }
        const auto key = "invented-" + std::to_string(sent++);
        fleet.loop.after(0ms, [&, connection, key] {
            flood[connection] = fleet.begin(fleet.request_with_key("GET", "/safe/x", key),
                                            [&, connection] { send_invented(connection); });
        });
    };
    for (int connection = 0; connection < connections; ++connection) {
        send_invented(connection);
    }
    int served = 0;
    std::chrono::nanoseconds slowest{0};
    while (sent < invented_keys) {
        const auto started_at = fleet.time.steady_now();
        const auto good = fleet.call_with_key("GET", "/safe/x", "key-1");
        CHECK(good->response.status == 200);
        slowest = std::max<std::chrono::nanoseconds>(slowest, fleet.time.steady_now() - started_at);
        ++served;
    }
    fleet.run_for(100ms);
    CHECK(refused == invented_keys);
    CHECK(slowest < 500ms);
    CHECK(fleet.b->upstream.requests.size() == static_cast<std::size_t>(served));
    CHECK(refusals(*fleet.a, "unknown_key") == invented_keys);
    CHECK(fleet.a->metrics.text().find("invented-") == std::string::npos);
}
