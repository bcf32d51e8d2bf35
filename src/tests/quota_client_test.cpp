#include "accounts/quota_client.h"
#include "base/manual_clock.h"

#include <catch2/catch.hpp>

using namespace galenaroad;
using namespace std::chrono_literals;

namespace {

constexpr quota_tolerance tolerance{5000ms, 0.1, 20};

struct tested_client {
    manual_clock time;
    holder_members members;
    std::vector<std::pair<quota_route, quota_question>> sent;
    std::vector<quota_verdict> verdicts;
    bool needs_tokens = true;
    quota_client client{
        members,
        tolerance,
        random_engine(1),
        {[this](const auto& route, const auto& question) { sent.emplace_back(route, question); },
         [](auto) {}}};

    tested_client()
    {
        owner_directory directory;
        for (const char* address : {"a", "b", "c"}) {
            owner_record record;
            record.address = address;
            record.revision = 1;
            record.state = announced_state::ready;
            directory.merge(record);
        }
        members.update(directory, true, time.steady_now());
    }

    void request()
    {
        client.request(
            "acme",
            [this](const auto& verdict) {
                verdicts.push_back(verdict);
                return needs_tokens;
            },
            time.steady_now());
    }

    void answer(std::uint16_t granted, quota_authority authority = quota_authority::full)
    {
        const auto& question = sent.back().second;
        client.on_answer({question.session, question.sequence, authority, granted, 0, 100ms},
                         time.steady_now());
    }

    void advance(std::chrono::milliseconds length)
    {
        for (auto passed = 0ms; passed < length; passed += 10ms) {
            time.advance(10ms);
            client.on_timer(time.steady_now());
        }
    }
};

} // namespace

TEST_CASE("quota_client: requests that come while a question is open share the next one", "[quota]")
{
    // Guards against a message for each request of an account that sends many.
    tested_client test;
    for (int each = 0; each < 5; ++each) {
        test.request();
    }
    CHECK(test.sent.size() == 1);
    test.answer(1);
    REQUIRE(test.sent.size() == 2);
    CHECK(test.sent.back().second.wanted == 4);
    test.answer(3);
    CHECK(test.verdicts.size() == 5);
    CHECK(test.verdicts.back().value == quota_verdict::decision::over_quota);
    // Refused without a question, and later than the one before.
    test.request();
    CHECK(test.sent.size() == 2);
    CHECK(test.verdicts.back().value == quota_verdict::decision::over_quota);
    test.advance(200ms);
    test.request();
    CHECK(test.sent.size() == 3);
}

TEST_CASE("quota_client: a question is repeated, then the next daemon is asked", "[quota]")
{
    // Guards against a request that waits for a daemon that does not answer.
    tested_client test;
    test.request();
    test.advance(70ms);
    REQUIRE(test.sent.size() == 2);
    CHECK(test.sent[0].second.sequence == test.sent[1].second.sequence);
    const auto holders = test.members.ranked("acme");
    test.advance(60ms);
    CHECK(test.sent.back().first.address == holders[0]);
    CHECK(test.sent.back().first.via == holders[1]);
    test.advance(130ms);
    CHECK(test.sent.back().first.address == holders[1]);
    CHECK(test.sent.back().first.via.empty());
    test.answer(0, quota_authority::deputy);
    CHECK(test.sent.back().first.address == holders[0]);
    CHECK(test.sent.back().first.via == holders[2]);
    test.advance(130ms);
    CHECK(test.sent.back().first.address == holders[2]);
    test.answer(0, quota_authority::none);
    REQUIRE(test.verdicts.size() == 1);
    CHECK(test.verdicts[0].value == quota_verdict::decision::not_known);
    CHECK(test.verdicts[0].retry_after >= 250ms);
}

TEST_CASE("quota_client: tokens that are late or not needed are returned", "[quota]")
{
    // Guards against tokens that are used long after they were granted, and against a quota that
    // clients use up by leaving.
    tested_client test;
    test.needs_tokens = false;
    test.request();
    test.answer(1);
    CHECK(test.sent.size() == 1);
    test.advance(60ms);
    REQUIRE(test.sent.size() == 2);
    CHECK(test.sent.back().second.wanted == 0);
    CHECK(test.sent.back().second.returned == 1);
    test.answer(0);
    test.needs_tokens = true;
    test.request();
    test.time.advance(400ms);
    test.answer(1);
    CHECK(test.verdicts.size() == 1);
    CHECK(test.sent.back().second.returned == 1);
    CHECK(test.sent.back().second.wanted == 1);
    test.answer(1);
    CHECK(test.verdicts.back().value == quota_verdict::decision::granted);
    test.advance(300ms);
    CHECK(test.client.account_count() == 0);
}
