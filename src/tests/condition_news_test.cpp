#include "relay/condition_news.h"

#include "base/manual_clock.h"

#include <catch2/catch.hpp>

using namespace galenaroad;
using namespace std::chrono_literals;

namespace {

struct fixture {
    manual_clock time;
    condition_news news;

    fixture() { time.advance(1h); }

    bool note(const std::string& owner, double failure_probability,
              std::chrono::milliseconds age = 0ms)
    {
        return news.note(owner, {failure_probability, 0}, time.steady_now() - age);
    }
};

} // namespace

TEST_CASE("condition_news: each condition is told a few times and then no more", "[relay]")
{
    // Guards against daemons that go on telling one another what all of them know.
    fixture at;
    CHECK(at.note("a", 0.9));
    at.time.advance(250ms);
    const auto first = at.news.take(at.time.steady_now());
    REQUIRE(first.size() == 1);
    CHECK(first[0].owner == "a");
    CHECK(first[0].age == 250ms);
    CHECK(at.news.take(at.time.steady_now()).size() == 1);
    CHECK(at.news.take(at.time.steady_now()).empty());
}

TEST_CASE("condition_news: only newer conditions are taken and told on", "[relay]")
{
    // Guards against a message that goes round for ever, and against late ones that undo newer
    // ones.
    fixture at;
    CHECK(at.note("a", 0.9));
    CHECK_FALSE(at.note("a", 0.9));
    CHECK_FALSE(at.note("a", 0.1, 100ms));
    CHECK(at.news.take(at.time.steady_now())[0].condition.failure_probability == 0.9);
}

TEST_CASE("condition_news: a message holds the newest conditions that fit", "[relay]")
{
    // Guards against messages of a large fleet that do not fit into one packet.
    fixture at;
    for (int owner = 0; owner < 100; ++owner) {
        at.note("old" + std::to_string(owner), 0.5, 500ms);
    }
    at.note("new", 0.9);
    const auto items = at.news.take(at.time.steady_now());
    REQUIRE(items.size() == condition_news::max_items);
    CHECK(items[0].owner == "new");
}

TEST_CASE("condition_news: conditions that are out of date are not told", "[relay]")
{
    // Guards against news of an upstream that has long been something else.
    fixture at;
    at.note("a", 0.9);
    at.time.advance(3s);
    CHECK(at.news.take(at.time.steady_now()).empty());
}

TEST_CASE("condition_news: a refusal keeps the time of the latest outcome", "[relay]")
{
    // Guards against daemons that do not learn of an outcome, because a refusal came before it was
    // told, and so try an owner in doubt too late or too soon.
    fixture at;
    at.news.note("a", {0.9, 0, true, 100ms}, at.time.steady_now());
    at.time.advance(200ms);
    at.note("a", 0.8);
    const auto items = at.news.take(at.time.steady_now());
    REQUIRE(items.size() == 1);
    CHECK(items[0].condition.failure_probability == 0.8);
    CHECK(items[0].condition.last_outcome_age == 300ms);
}
