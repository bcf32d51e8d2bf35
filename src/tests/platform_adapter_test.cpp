#include "heartbeat_decoder.h"
#include "node_settings.h"
#include "plan_decoder.h"
#include "store_rows.h"

#include <catch2/catch.hpp>

using namespace galenaroad;
using namespace std::chrono_literals;

namespace {

constexpr const char* settings_text = R"(
self:
  node_name: "m-1"
  ip: "10.1.0.8"
  zone: "z1"
  region: "r1"
  limits: {max_fds: 4100}
  app_addr: "10.1.0.8:8301"
  service: "s1"
  something_new: [1, 2]
network:
  listen: {inbound: "10.1.0.8:1", outbound: "10.1.0.8:2", ready: "10.1.0.8:3", control: "10.1.0.8:4"}
platform:
  platform: {address: "10.9.0.1:5"}
terms:
  bounds: {grace_period_s: 6, retry_budget_ratio: 0.2, budget_extra: 58,
           budget_window_s: 8, quota_window_s: 4, quota_over: 0.2, quota_slack: 30}
)";

} // namespace

TEST_CASE("node_settings: fields are decoded and unknown ones are ignored", "[platform]")
{
    // Guards against a settings file of a later platform version that stops the daemon.
    const auto read = node_settings_reader::parse(settings_text);
    REQUIRE(read.has_value());
    CHECK(read->data_centre == "z1");
    CHECK(read->peer_address == "10.1.0.8:1");
    CHECK(read->entry_address == "10.1.0.8:2");
    CHECK(read->store_address == "10.9.0.1:5");
    CHECK(read->grace_period == 6s);
    CHECK(read->retry_extra == 58);
    CHECK(read->retry_window == 8s);
    CHECK(read->quota_window == 4s);
    CHECK(read->quota_over == 0.2);
    CHECK(read->quota_slack == 30);
    const auto invalid = node_settings_reader::parse("self: {node_name: x}");
    REQUIRE_FALSE(invalid.has_value());
    CHECK(invalid.error().find("'ip'") != std::string::npos);
    CHECK_FALSE(node_settings_reader::parse("self: [").has_value());
    auto negative = std::string(settings_text);
    negative.replace(negative.find("quota_over: 0.2"), 15, "quota_over: -.2");
    CHECK_FALSE(node_settings_reader::parse(negative).has_value());
}

TEST_CASE("plan_decoder: routes, splits and limits are decoded", "[platform]")
{
    // Guards against a configuration that is decoded only in part.
    const std::string text = R"({"version":7,"routes":{
        "a":{"host":"h","prefix":"/x/","kind":"unsafe","timeout_ms":4000,"latency_goal_ms":2500,
             "priority":1,"service":"s1","max_attempts":2},
        "b":{"host":"h","prefix":"/y/","kind":"download","timeout_ms":1000,"split":[
             {"service":"s1","weight":90},{"service":"s2","weight":10},{"service":"s3","weight":0}]}},
        "services":{"s1":{"health_path":"/health","max_connections":330}},
        "limits":{"max_header_bytes":100,"max_body_bytes":200,"header_timeout_ms":300,
                  "idle_timeout_ms":400},"base_version":5})";
    const auto plan = plan_decoder::decode({7, text});
    REQUIRE(plan.has_value());
    CHECK(plan->version == 7);
    REQUIRE(plan->routes.size() == 2);
    CHECK(plan->routes[0].kind == request_kind::at_most_once);
    CHECK(plan->routes[0].latency_objective == 2500ms);
    CHECK(plan->routes[1].kind == request_kind::download);
    CHECK(plan->routes[1].targets.size() == 2);
    CHECK(plan->services.at("s1").max_connections == 330);
    CHECK(plan->limits.max_head_bytes == 100);
    CHECK(plan->limits.idle_timeout == 400ms);
    CHECK(plan_decoder::decode_version(text) == 7U);
    CHECK_FALSE(plan_decoder::decode_version(R"({"version":"7"})").has_value());
    CHECK_FALSE(plan_decoder::decode({7, text.substr(0, 200)}).has_value());
}

TEST_CASE("heartbeat_decoder: valid heartbeats are decoded and invalid ones are rejected",
          "[platform]")
{
    // Guards against an invalid heartbeat that makes a daemon use an upstream which does not exist.
    const std::string valid = R"({"address":"10.0.0.9:80","born":1700000000123,
        "info":{"service":"s","version":"v1","zone":"z","slots":3},
        "status":{"state":"draining","sequence":4,"cold_left_ms":20}})";
    const auto heartbeat = heartbeat_decoder::decode("i-1", valid);
    REQUIRE(heartbeat.has_value());
    CHECK(heartbeat->id == "i-1");
    CHECK(heartbeat->is_draining);
    CHECK(heartbeat->start_time_ms == 1700000000123U);
    CHECK(heartbeat->warmup_remaining == 20ms);
    const auto invalid = GENERATE(
        as<std::string>{}, "", "\xff", "[]", R"({"address":"a:1","info":{},"status":{}})",
        R"({"address":"a:1","born":1.5,"info":{"service":"s","slots":3},"status":{"state":"ready","sequence":4,"cold_left_ms":0}})",
        R"({"address":"a:1","born":"1","info":{"service":"s","slots":3},"status":{"state":"ready","sequence":4,"cold_left_ms":0}})",
        R"({"address":"a:1","info":{"service":"s","slots":"3"},"status":{"state":"ready","sequence":4,"cold_left_ms":0}})",
        R"({"address":"a:1","info":{"service":"s","slots":3},"status":{"state":"asleep","sequence":4,"cold_left_ms":0}})",
        R"({"address":"a:1","info":{"service":"s","slots":3},"status":{"state":"ready","sequence":-4,"cold_left_ms":0}})");
    CHECK_FALSE(heartbeat_decoder::decode("i-1", invalid).has_value());
}

TEST_CASE("store_rows: rows are decoded and invalid ones are skipped", "[platform]")
{
    // Guards against an invalid row that hides the others, and against line breaks in base64.
    const auto rows = store_rows_codec::decode(
        R"({"rows":[{"table":"t","part":"","key":"k","value":"bm9kZS0x","schema_version":4},
            {"key":5},{"key":"gone","removed":true,"schema_version":5}],
            "schema_version":9,"now_ms":1})");
    REQUIRE(rows.has_value());
    CHECK(rows->version == 9);
    REQUIRE(rows->rows.size() == 2);
    CHECK(rows->rows[0].value == "node-1");
    CHECK(rows->rows[1].is_removed);
    CHECK_FALSE(store_rows_codec::decode("{}").has_value());
    const std::string value(300, 'x');
    const auto written = store_rows_codec::encode_replacement("t", "p", "k", value, 4);
    CHECK(written.find("\\n") == std::string::npos);
    CHECK(written.find("\"schema_version\":4") != std::string::npos);
    CHECK(written.find("\"part\":\"p\"") != std::string::npos);
    CHECK(store_rows_codec::decode_parts(R"({"parts":["a",5,""],"schema_version":3})") ==
          std::vector<std::string>{"a", ""});
    CHECK_FALSE(store_rows_codec::decode_parts(R"({"parts":"a"})").has_value());
    CHECK(store_rows_codec::decode_version(R"({"schema_version":12})") == 12U);
}
