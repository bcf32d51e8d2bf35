#include "fleet/relay_message_codec.h"

#include <catch2/catch.hpp>

using namespace galenaroad;
using namespace std::chrono_literals;

TEST_CASE("relay_message_codec: encoded messages are decoded unchanged, anything else is refused",
          "[relay]")
{
    // Guards against a message of another version that is decoded in part.
    attempt_metadata metadata;
    metadata.attempt_id = "77";
    metadata.service = "s\"1";
    metadata.remaining = 1234ms;
    metadata.objective_remaining = -5ms;
    metadata.kind = request_kind::download;
    metadata.may_wait = true;
    metadata.attempt = 2;
    metadata.retry_is_granted = true;
    metadata.may_be_interrupted = true;
    metadata.plan_version = 1ULL << 60U;
    const auto decoded_metadata =
        relay_message_codec::decode_metadata(relay_message_codec::encode(metadata));
    REQUIRE(decoded_metadata.has_value());
    CHECK(decoded_metadata->attempt_id == metadata.attempt_id);
    CHECK(decoded_metadata->service == metadata.service);
    CHECK(decoded_metadata->retry_is_granted);
    CHECK(decoded_metadata->may_be_interrupted);
    CHECK(decoded_metadata->remaining == 1234ms);
    CHECK(decoded_metadata->objective_remaining == -5ms);
    CHECK(decoded_metadata->kind == request_kind::download);
    CHECK(decoded_metadata->may_wait);
    CHECK(decoded_metadata->plan_version == metadata.plan_version);

    attempt_report report;
    report.result = owner_result::not_run;
    report.reason = owner_reason::invalid_response;
    report.retry_after = 250ms;
    report.token = "1:2";
    report.grants_retry = true;
    report.accepts_only_retryable = true;
    const auto decoded_report =
        relay_message_codec::decode_report(relay_message_codec::encode(report));
    REQUIRE(decoded_report.has_value());
    CHECK(decoded_report->result == owner_result::not_run);
    CHECK(decoded_report->reason == owner_reason::invalid_response);
    CHECK(decoded_report->retry_after == 250ms);
    CHECK(decoded_report->token == "1:2");
    CHECK(decoded_report->grants_retry);
    CHECK(decoded_report->accepts_only_retryable);

    const auto decoded_query =
        relay_message_codec::decode_query(relay_message_codec::encode(response_query{"77", "1:2"}));
    REQUIRE(decoded_query.has_value());
    CHECK(decoded_query->attempt_id == "77");
    CHECK(decoded_query->token == "1:2");

    const auto broken =
        GENERATE(as<std::string>{}, "", "{}", "7", "[]", "[1]", R"([2,"77","1:2"])");
    CHECK_FALSE(relay_message_codec::decode_metadata(broken).has_value());
    CHECK_FALSE(relay_message_codec::decode_report(broken).has_value());
    CHECK_FALSE(relay_message_codec::decode_query(broken).has_value());

    const std::string unknown_enum = R"([1,9,0,0,0,0,1,"t",0])";
    CHECK_FALSE(relay_message_codec::decode_report(unknown_enum).has_value());
}

TEST_CASE("relay_message_codec: messages are small", "[relay]")
{
    // Guards against high transfer costs between regions: a message is sent with each request, and
    // with each refusal under high load.
    attempt_metadata metadata;
    metadata.attempt_id = "18446744073709551615";
    metadata.service = "fipu89b";
    metadata.route = "r-bg8iu4f";
    metadata.caller_service = "xago69c";
    metadata.entry_address = "10.3.0.106:8381";
    metadata.remaining = 5970ms;
    metadata.objective_remaining = 2470ms;
    metadata.plan_version = 1234;
    CHECK(relay_message_codec::encode(metadata).size() <= 128);
    attempt_report report;
    report.plan_version = 1234;
    report.token = "18446744073709551615:3600";
    CHECK(relay_message_codec::encode(report).size() <= 64);
}
