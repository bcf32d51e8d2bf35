#include "relay/relay_message.h"

#include <catch2/catch.hpp>

using namespace galenaroad;
using namespace std::chrono_literals;

TEST_CASE("relay_message: orders and reports survive, anything else is refused", "[relay]")
{
    // Guards against a message of another version that is half understood.
    relay_order order;
    order.attempt_id = "77";
    order.service = "s\"1";
    order.remaining = 1234ms;
    order.goal_remaining = -5ms;
    order.kind = request_kind::download;
    order.may_wait = true;
    order.attempt = 2;
    order.is_granted = true;
    order.plan_version = 1ULL << 60U;
    const auto read = relay_message::decode_order(relay_message::encode(order));
    REQUIRE(read.has_value());
    CHECK(read->attempt_id == order.attempt_id);
    CHECK(read->service == order.service);
    CHECK(read->is_granted);
    CHECK(read->remaining == 1234ms);
    CHECK(read->goal_remaining == -5ms);
    CHECK(read->kind == request_kind::download);
    CHECK(read->may_wait);
    CHECK(read->plan_version == order.plan_version);

    owner_report report;
    report.result = owner_result::not_run;
    report.reason = owner_reason::invalid_response;
    report.retry_after = 250ms;
    report.token = "1:2";
    report.grants_attempt = true;
    const auto told = relay_message::decode_report(relay_message::encode(report));
    REQUIRE(told.has_value());
    CHECK(told->result == owner_result::not_run);
    CHECK(told->reason == owner_reason::invalid_response);
    CHECK(told->retry_after == 250ms);
    CHECK(told->token == "1:2");
    CHECK(told->grants_attempt);

    const auto asked =
        relay_message::decode_query(relay_message::encode(answer_query{"77", "1:2"}));
    REQUIRE(asked.has_value());
    CHECK(asked->attempt_id == "77");
    CHECK(asked->token == "1:2");

    const auto broken =
        GENERATE(as<std::string>{}, "", "{}", "7", "[]", "[1]", R"([2,"77","1:2"])");
    CHECK_FALSE(relay_message::decode_order(broken).has_value());
    CHECK_FALSE(relay_message::decode_report(broken).has_value());
    CHECK_FALSE(relay_message::decode_query(broken).has_value());

    const std::string unknown_enum = R"([1,9,0,0,0,0,1,"t",0])";
    CHECK_FALSE(relay_message::decode_report(unknown_enum).has_value());
}

TEST_CASE("relay_message: messages are small", "[relay]")
{
    // Guards against the price of bytes between regions: a message travels with each request, and
    // with each refusal on the days of high load.
    relay_order order;
    order.attempt_id = "18446744073709551615";
    order.service = "fipu89b";
    order.route = "r-bg8iu4f";
    order.caller_service = "xago69c";
    order.entry_address = "10.3.0.106:8381";
    order.remaining = 5970ms;
    order.goal_remaining = 2470ms;
    order.plan_version = 1234;
    CHECK(relay_message::encode(order).size() <= 128);
    owner_report report;
    report.plan_version = 1234;
    report.token = "18446744073709551615:3600";
    CHECK(relay_message::encode(report).size() <= 64);
}
