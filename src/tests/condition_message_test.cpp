#include "relay/condition_message.h"

#include <catch2/catch.hpp>
#include <random>

using namespace galenaroad;
using namespace std::chrono_literals;

namespace {

std::vector<condition_item> full_message()
{
    std::vector<condition_item> items;
    for (std::size_t each = 0; each < condition_news::max_items; ++each) {
        items.push_back({"255.255.255.255:65535", {0.99, 12.5, false, 60000ms}, 1999ms});
    }
    return items;
}

} // namespace

TEST_CASE("condition_message: conditions arrive as they were sent", "[relay]")
{
    // Guards against fields that are lost or swapped, and against messages longer than a packet.
    const auto bytes = condition_message::encode(full_message());
    CHECK(bytes.size() <= condition_message::max_bytes);
    const auto read = condition_message::decode(bytes);
    REQUIRE(read);
    REQUIRE(read->size() == condition_news::max_items);
    CHECK(read->front().owner == "255.255.255.255:65535");
    CHECK(read->front().condition.failure_probability == Approx(0.99));
    CHECK(read->front().condition.load == Approx(12.5));
    CHECK_FALSE(read->front().condition.accepts_requests);
    CHECK(read->front().age == 1999ms);
    CHECK(read->front().condition.last_outcome_age == 60000ms);
    const auto untested =
        condition_message::decode(condition_message::encode({{"127.0.0.1:1", {0.5, 1}, 0ms}}));
    REQUIRE(untested);
    CHECK_FALSE(untested->front().condition.last_outcome_age);
}

TEST_CASE("condition_message: other bytes are no message", "[relay]")
{
    // Guards against a daemon that ends or takes nonsense when anything is sent to its port.
    CHECK_FALSE(condition_message::decode(""));
    CHECK_FALSE(condition_message::decode("GET / HTTP/1.1\r\n\r\n"));
    const auto bytes = condition_message::encode(full_message());
    CHECK_FALSE(condition_message::decode(bytes.substr(0, bytes.size() / 2)));
    CHECK_FALSE(condition_message::decode(bytes + "x"));
    std::mt19937 random(20261204);
    for (int round = 0; round < 20000; ++round) {
        auto mutated = bytes;
        mutated[random() % mutated.size()] = static_cast<char>(random());
        const auto read = condition_message::decode(mutated);
        for (const auto& item : read.value_or(std::vector<condition_item>{})) {
            REQUIRE(item.condition.failure_probability <= 1);
            REQUIRE(item.age >= 0ms);
        }
    }
}
