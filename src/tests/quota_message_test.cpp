#include "accounts/quota_message.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace galenaroad;

TEST_CASE("quota_message: messages are decoded as they were encoded, others are refused", "[quota]")
{
    // Guards against bytes that mean something else on an instance of another architecture, and
    // against a daemon that ends on an invalid message.
    CHECK(rc::check("round trip", [] {
        const quota_question question{
            *rc::gen::arbitrary<std::uint32_t>(), *rc::gen::arbitrary<std::uint32_t>(),
            *rc::gen::arbitrary<std::uint16_t>(), *rc::gen::arbitrary<std::uint16_t>(),
            *rc::gen::nonEmpty<std::string>()};
        const auto bytes = quota_message_codec::encode(question);
        const auto decoded = quota_message_codec::decode_question(bytes);
        RC_ASSERT(decoded.has_value());
        RC_ASSERT(decoded->session == question.session);
        RC_ASSERT(decoded->sequence == question.sequence);
        RC_ASSERT(decoded->wanted == question.wanted);
        RC_ASSERT(decoded->returned == question.returned);
        RC_ASSERT(decoded->account == question.account);
        RC_ASSERT(!quota_message_codec::decode_answer(bytes).has_value());
        const auto forward = quota_message_codec::encode_forward("10.0.0.1:1", question);
        const auto forwarded = quota_message_codec::decode_forward(forward);
        RC_ASSERT(forwarded.has_value());
        RC_ASSERT(forwarded->first == "10.0.0.1:1");
        RC_ASSERT(forwarded->second == bytes);
        const auto text = *rc::gen::arbitrary<std::string>();
        quota_message_codec::decode_question("Q" + text);
        quota_message_codec::decode_forward("F" + text);
        quota_message_codec::decode_handover_question("H" + text);
        quota_message_codec::decode_handover_answer("Y" + text);
        RC_ASSERT(quota_message_codec::decode_answer("A" + text).has_value() <=
                  (text.size() == 15));
    }));
    const quota_answer answer{0x01020304, 5, quota_authority::full,
                              6,          7, std::chrono::milliseconds(300)};
    const auto bytes = quota_message_codec::encode(answer);
    CHECK(bytes == std::string("A\1\2\3\4\0\0\0\5\2\0\6\0\7\1\54", 16));
    const auto decoded = quota_message_codec::decode_answer(bytes);
    REQUIRE(decoded.has_value());
    CHECK(decoded->granted == 6);
    CHECK(decoded->tokens == 7);
    CHECK(decoded->retry_after == answer.retry_after);
    owner_record record;
    record.address = "10.0.0.1:1";
    record.state = announced_state::ready;
    const auto question = quota_message_codec::encode_handover_question(record);
    const auto joined = quota_message_codec::decode_handover_question(question);
    REQUIRE(joined.has_value());
    CHECK(joined->address == record.address);
    CHECK_FALSE(quota_message_codec::decode_handover_question(question.substr(1)).has_value());
    const auto confirmed = quota_message_codec::decode_handover_answer(
        quota_message_codec::encode(handover_answer{handover_state::done, "10.0.0.2:2"}));
    REQUIRE(confirmed.has_value());
    CHECK(confirmed->state == handover_state::done);
    CHECK(confirmed->address == "10.0.0.2:2");
    CHECK_FALSE(quota_message_codec::decode_handover_answer("Y\3x").has_value());
    CHECK_FALSE(quota_message_codec::decode_handover_answer("Y\1").has_value());
    CHECK_FALSE(quota_message_codec::decode_question("Q" + std::string(12, 'x')).has_value());
    CHECK_FALSE(quota_message_codec::decode_question("Q" + std::string(300, 'x')).has_value());
}
