#include "relay/health_report_codec.h"

#include <catch2/catch.hpp>
#include <random>

using namespace galenaroad;
using namespace std::chrono_literals;

namespace {

std::vector<relayed_report> full_message()
{
    std::vector<relayed_report> reports;
    for (std::size_t each = 0; each < health_report_buffer::max_reports; ++each) {
        reports.push_back({"255.255.255.255:65535", {0.99, 12.5, false, 60000ms, true}, 1999ms});
    }
    return reports;
}

} // namespace

TEST_CASE("health_report_codec: reports are decoded as they were encoded", "[relay]")
{
    // Guards against fields that are lost or swapped, and against messages that exceed one packet.
    const auto bytes = health_report_codec::encode(full_message());
    CHECK(bytes.size() <= health_report_codec::max_bytes);
    const auto decoded = health_report_codec::decode(bytes);
    REQUIRE(decoded);
    REQUIRE(decoded->size() == health_report_buffer::max_reports);
    CHECK(decoded->front().owner == "255.255.255.255:65535");
    CHECK(decoded->front().health.failure_probability == Approx(0.99));
    CHECK(decoded->front().health.load == Approx(12.5));
    CHECK_FALSE(decoded->front().health.accepts_requests);
    CHECK(decoded->front().age == 1999ms);
    CHECK(decoded->front().health.last_outcome_age == 60000ms);
    CHECK(decoded->front().health.accepts_only_retryable);
    const auto without_outcome =
        health_report_codec::decode(health_report_codec::encode({{"127.0.0.1:1", {0.5, 1}, 0ms}}));
    REQUIRE(without_outcome);
    CHECK_FALSE(without_outcome->front().health.last_outcome_age);
    CHECK_FALSE(without_outcome->front().health.accepts_only_retryable);
}

TEST_CASE("health_report_codec: invalid messages are rejected", "[relay]")
{
    // Guards against a daemon that terminates or accepts invalid values when arbitrary bytes are
    // sent to its port.
    CHECK_FALSE(health_report_codec::decode(""));
    CHECK_FALSE(health_report_codec::decode("GET / HTTP/1.1\r\n\r\n"));
    const auto bytes = health_report_codec::encode(full_message());
    CHECK_FALSE(health_report_codec::decode(bytes.substr(0, bytes.size() / 2)));
    CHECK_FALSE(health_report_codec::decode(bytes + "x"));
    std::mt19937 random(20261204);
    for (int round = 0; round < 20000; ++round) {
        auto mutated = bytes;
        mutated[random() % mutated.size()] = static_cast<char>(random());
        const auto decoded = health_report_codec::decode(mutated);
        for (const auto& report : decoded.value_or(std::vector<relayed_report>{})) {
            REQUIRE(report.health.failure_probability <= 1);
            REQUIRE(report.age >= 0ms);
        }
    }
}
