#include "base/deflate_codec.h"
#include "fleet/owner_record_codec.h"
#include "fleet/relay_message_codec.h"
#include "heartbeat_decoder.h"
#include "net/http_body_decoder.h"
#include "net/http_head.h"
#include "net/ip_endpoint.h"
#include "node_settings.h"
#include "plan_decoder.h"
#include "relay/peer_state.h"
#include "relay/plan_page.h"
#include "store_rows.h"
#include "support/message_mutator.h"

#include <catch2/catch.hpp>
#include <functional>
#include <rapidcheck.h>

using namespace galenaroad;
using json = nlohmann::json;

namespace {

/// A decoder with a valid message.
struct decoder_case {
    const char* name;
    std::string valid_message;
    std::function<bool(const std::string&)> accepts;
};

owner_record make_record()
{
    owner_record record;
    record.address = "10.0.0.1:80";
    record.data_centre = "dc";
    record.region = "r";
    record.revision = 5;
    record.upstream_id = "i-1";
    record.service = "s";
    record.state = announced_state::ready;
    return record;
}

state_request make_request()
{
    state_request request;
    request.plan_version = 4;
    request.digest = 5;
    request.address = "10.0.0.1:80";
    request.position = {"17", 3};
    request.wait = std::chrono::milliseconds(500);
    return request;
}

constexpr std::size_t max_text_bytes = 100'000;

plan_page make_page()
{
    plan_page page;
    page.part.base_version = 3;
    page.part.version = 4;
    route_rule rule;
    rule.name = "a";
    rule.host = "h";
    rule.prefix = "/";
    rule.targets = {{"s", 0.5}, {"t", 1.5}};
    page.part.routes = {rule};
    page.part.removed_routes = {"b"};
    page.part.services["s"] = {"/health", 3};
    page.part.removed_services = {"t"};
    client_account account;
    account.name = "c";
    account.keys = {api_key_digest::of("k")};
    account.priority = 1;
    account.quota = {153, 20};
    page.part.accounts = {account};
    page.part.removed_accounts = {"d"};
    page.part.properties.has_accounts = true;
    page.next_position = "rc";
    return page;
}

std::vector<decoder_case> json_decoders()
{
    peer_state state;
    state.plan_version = 4;
    state.owners = {make_record()};
    return {
        {"plan", R"({"version":7,"routes":{"a":{"host":"h","prefix":"/","kind":"safe",
            "service":"s"}},"services":{"s":{"max_connections":3}},
            "limits":{"max_body_bytes":5},"tenants":{"c":{"api_keys":["k"],"priority":1,
            "rate_per_s":153,"burst":20}}})",
         [](const auto& text) {
             return plan_decoder::decode({7, text}).has_value();
         }},
        {"heartbeat", R"({"address":"10.0.0.1:8080","born":5,"info":{"service":"s","version":"v",
            "zone":"z","slots":3},"status":{"state":"ready","sequence":4,"cold_left_ms":0}})",
         [](const auto& text) { return heartbeat_decoder::decode("i", text).has_value(); }},
        {"store rows", R"({"rows":[{"table":"t","part":"","key":"k","value":"bm9kZS0x",
            "schema_version":4}],"schema_version":9,"now_ms":1,"has_more":false})",
         [](const auto& text) {
             store_rows_codec::decode_version(text);
             return store_rows_codec::decode(text).has_value();
         }},
        {"owner record", owner_record_codec::encode(make_record()),
         [](const auto& text) { return owner_record_codec::decode(text).has_value(); }},
        {"peer state", peer_state_codec::encode(state),
         [](const auto& text) { return peer_state_codec::decode_state(text).has_value(); }},
        // Changes of the compressed bytes rarely reach the decoder of the text.
        {"plan page text",
         deflate_codec::decompress(plan_page_codec::encode(make_page()), max_text_bytes).value(),
         [](const auto& text) {
             return plan_page_codec::decode_page(deflate_codec::compress(text)).has_value();
         }},
        {"plan page refusal", plan_page_codec::encode(plan_page_refusal{{"10.0.0.1:80"}}),
         [](const auto& text) { return !plan_page_codec::decode_refusal(text).holders.empty(); }},
        {"order", relay_message_codec::encode(attempt_metadata()),
         [](const auto& text) { return relay_message_codec::decode_metadata(text).has_value(); }},
        {"report", relay_message_codec::encode(attempt_report()),
         [](const auto& text) { return relay_message_codec::decode_report(text).has_value(); }},
        {"query", relay_message_codec::encode(response_query()),
         [](const auto& text) { return relay_message_codec::decode_query(text).has_value(); }},
    };
}

std::vector<decoder_case> text_decoders()
{
    return {
        {"settings", R"(
self: {node_name: m, ip: 10.0.0.1, zone: z, region: r, limits: {max_fds: 4100}, app_addr: "a:1",
       service: s}
network: {listen: {inbound: "a:1", outbound: "a:2", ready: "a:3", control: "a:4"}}
platform: {platform: {address: "a:5"}}
terms: {bounds: {grace_period_s: 6, retry_budget_ratio: 0.2}}
)",
         [](const auto& text) { return node_settings_reader::parse(text).has_value(); }},
        {"request", "POST /a?x=1 HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nA: b\r\n\r\n",
         [](const auto& text) { return http_head::read_request(text).has_value(); }},
        {"response", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nKeep-Alive: timeout=5\r\n\r\n",
         [](const auto& text) { return http_head::read_response(text, "GET").has_value(); }},
        {"plan page", plan_page_codec::encode(make_page()),
         [](const auto& text) { return plan_page_codec::decode_page(text).has_value(); }},
        {"page question", plan_page_codec::encode(plan_page_request{3, 4, "ra", "10.0.0.1:80"}),
         [](const auto& text) { return plan_page_codec::decode_request(text).has_value(); }},
        {"question", peer_state_codec::encode(make_request()),
         [](const auto& text) { return peer_state_codec::decode_request(text).has_value(); }},
        {"chunks", "5\r\nhello\r\n3;x=y\r\nabc\r\n0\r\nT: 1\r\n\r\n",
         [](const auto& text) {
             http_body_decoder decoder({body_end::chunked, 0});
             std::string_view input = text;
             std::string payload;
             return decoder.decode(input, payload) == http_body_decoder::state::complete;
         }},
        {"endpoint", "10.0.0.1:80",
         [](const auto& text) { return ip_endpoint::parse(text).has_value(); }},
    };
}

} // namespace

TEST_CASE("decoders: changed bytes never terminate the daemon", "[robustness]")
{
    // Guards against an exception that escapes a decoder: it would terminate the process, and after
    // a restart the same message would be read again.
    auto cases = json_decoders();
    const auto texts = text_decoders();
    cases.insert(cases.end(), texts.begin(), texts.end());
    for (const auto& each : cases) {
        INFO(each.name);
        REQUIRE(each.accepts(each.valid_message));
        CHECK(rc::check(each.name, [&each] {
            message_mutator mutator(*rc::gen::arbitrary<std::uint64_t>());
            each.accepts(mutator.change_bytes(each.valid_message));
        }));
    }
}

TEST_CASE("decoders: values of other types never terminate the daemon", "[robustness]")
{
    // Guards against an escaping exception for well-formed JSON with values of unexpected types.
    for (const auto& each : json_decoders()) {
        INFO(each.name);
        CHECK(rc::check(each.name, [&each] {
            message_mutator mutator(*rc::gen::arbitrary<std::uint64_t>());
            auto value = json::parse(each.valid_message);
            mutator.change_one(value);
            each.accepts(value.dump());
        }));
    }
}

TEST_CASE("store_rows: a mistyped version or flag is a failed call", "[platform]")
{
    // Guards against a store response in an unexpected format that terminates the daemon.
    CHECK_FALSE(store_rows_codec::decode(R"({"rows":[],"schema_version":"9"})").has_value());
    CHECK_FALSE(store_rows_codec::decode(R"({"rows":[],"has_more":1})").has_value());
    CHECK(store_rows_codec::decode(R"({"rows":[]})").has_value());
}

TEST_CASE("owner_record: an address that is not an endpoint is rejected", "[fleet]")
{
    // Guards against a foreign row whose address would cause a DNS lookup or terminate the daemon.
    auto record = make_record();
    CHECK(owner_record_codec::decode(owner_record_codec::encode(record)).has_value());
    record.address = GENERATE("", "host:80", "10.0.0.1", "10.0.0.1:99999", "10.0.0.1:x");
    CHECK_FALSE(owner_record_codec::decode(owner_record_codec::encode(record)).has_value());
}

TEST_CASE("node_settings: an optional field of another type keeps its default", "[platform]")
{
    // Guards against a settings file of a later platform that stops the daemon.
    auto text = text_decoders().front().valid_message;
    text.replace(text.find("4100"), 4, "many");
    text.replace(text.find("grace_period_s: 6"), 17, "grace_period_s: x");
    const auto read = node_settings_reader::parse(text);
    REQUIRE(read.has_value());
    CHECK(read->max_descriptors == node_settings().max_descriptors);
    CHECK(read->grace_period == node_settings().grace_period);
}

TEST_CASE("peer_state: requests and responses are decoded as encoded", "[relay]")
{
    // Guards against peers that continue from a change other than the latest one received.
    const auto read = peer_state_codec::decode_request(peer_state_codec::encode(make_request()));
    REQUIRE(read.has_value());
    CHECK(read->plan_version == 4);
    CHECK(read->address == "10.0.0.1:80");
    CHECK(read->position.start_id == "17");
    CHECK(read->position.change == 3);
    CHECK(read->wait == std::chrono::milliseconds(500));
    peer_state state;
    state.plan_version = 6;
    state.position = {"18", 9};
    state.is_fresh = true;
    state.is_reader = true;
    const auto response = peer_state_codec::decode_state(peer_state_codec::encode(state));
    REQUIRE(response.has_value());
    CHECK(response->plan_version == 6);
    CHECK(response->position.change == 9);
    CHECK(response->is_fresh);
    CHECK(response->is_reader);
    CHECK_FALSE(response->is_complete);
}

TEST_CASE("decoders: deep nesting does not terminate the daemon", "[robustness]")
{
    // Guards against a deeply nested row of another writer that overflows the stack of every daemon
    // that reads it, again after each restart.
    constexpr std::size_t depth = 2'000'000;
    const std::string nested = std::string(depth, '[') + std::string(depth, ']');
    CHECK(json::parse(nested, nullptr, false).is_array());
    CHECK_FALSE(owner_record_codec::decode(nested).has_value());
    CHECK(owner_record_codec::decode_all(json::parse(nested)).empty());
    CHECK_FALSE(owner_record_codec::decode(R"({"address":)" + nested + "}").has_value());
    CHECK(store_rows_codec::decode(R"({"rows":[)" + nested + "]}")->rows.empty());
    CHECK(store_rows_codec::decode_parts(R"({"parts":[)" + nested + "]}")->empty());
    CHECK_FALSE(heartbeat_decoder::decode("i", R"({"info":)" + nested + "}").has_value());
    const auto plan = plan_decoder::decode({1, R"({"version":1,"routes":{"a":)" + nested + "}}"});
    REQUIRE(plan.has_value());
    CHECK(plan->routes.empty());
    const auto state = peer_state_codec::decode_state(R"({"owners":[)" + nested + "]}");
    REQUIRE(state.has_value());
    CHECK(state->owners.empty());
}

TEST_CASE("owner_record: numbers out of range are rejected", "[fleet]")
{
    // Guards against a revision that no later record of the owner can exceed, so that daemons would
    // ignore all later records.
    const auto field = GENERATE("revision", "born_ms", "sequence");
    const auto number = GENERATE("-1", "1e30", "1.5", "18446744073709551615", "1e400", "true");
    auto text = owner_record_codec::encode(make_record());
    const auto at = text.find(':', text.find('"' + std::string(field) + '"')) + 1;
    text.replace(at, text.find_first_of(",}", at) - at, number);
    INFO(text);
    CHECK_FALSE(owner_record_codec::decode(text).has_value());
}

TEST_CASE("heartbeat_decoder: numbers out of range are rejected", "[platform]")
{
    // Guards against a start time or sequence that no later heartbeat can exceed, so that the
    // upstream would receive no more requests.
    const auto field = GENERATE("born", "sequence", "slots", "cold_left_ms");
    const auto number = GENERATE("-1", "1e30", "1.5", "18446744073709551615", "1e400", "true");
    std::string text = R"({"address":"10.0.0.1:8080","born":5,"info":{"service":"s","slots":3},)"
                       R"("status":{"state":"ready","sequence":4,"cold_left_ms":0}})";
    const auto at = text.find(':', text.find('"' + std::string(field) + '"')) + 1;
    text.replace(at, text.find_first_of(",}", at) - at, number);
    INFO(text);
    const bool is_capped =
        std::string(field) == "cold_left_ms" && std::string(number) == "18446744073709551615";
    CHECK(heartbeat_decoder::decode("i", text).has_value() == is_capped);
}
