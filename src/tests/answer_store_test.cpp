#include "base/manual_clock.h"
#include "relay/answer_store.h"

#include <catch2/catch.hpp>

using namespace galenaroad;
using namespace std::chrono_literals;

namespace {

struct fixture {
    manual_clock time;
    answer_store store{time, random_engine(1)};

    fixture() { time.advance(1h); }

    start_decision start(const std::string& id) { return store.start(id, time.steady_now() + 4s); }

    answer_state ask(const std::string& id) { return ask(id, store.token()); }

    answer_state ask(const std::string& id, const std::string& token)
    {
        return store.look_up({id, token});
    }

    static kept_answer answer(std::size_t bytes = 4)
    {
        kept_answer made;
        made.head.status = 200;
        made.body = std::string(bytes, 'x');
        return made;
    }
};

} // namespace

TEST_CASE("answer_store: an answer is there for whoever lost its connection", "[relay]")
{
    // Guards against an order that has run and whose caller is told "outcome unknown".
    fixture at;
    CHECK(at.start("1") == start_decision::started);
    CHECK(at.ask("1") == answer_state::pending);
    std::string told;
    at.store.when_finished("1", [&](const kept_answer& kept) { told = kept.body; });
    at.store.finish("1", fixture::answer());
    CHECK(told == "xxxx");
    CHECK(at.ask("1") == answer_state::kept);
    CHECK(at.store.answer("1").body == "xxxx");
    at.time.advance(21s);
    CHECK(at.ask("1") == answer_state::unknown);
    CHECK(at.store.kept_bytes() == 0);
}

TEST_CASE("answer_store: a request that was asked for before it arrived never runs", "[relay]")
{
    // Guards against an order that runs twice: once where it was held up, and once elsewhere.
    fixture at;
    CHECK(at.ask("1") == answer_state::not_run);
    CHECK(at.start("1") == start_decision::fenced);
    CHECK(at.ask("1") == answer_state::not_run);
}

TEST_CASE("answer_store: promises nothing for the time before it started", "[relay]")
{
    // Guards against a false "not run" of an owner that has restarted or has forgotten.
    fixture at;
    const answer_store earlier(at.time, random_engine(2));
    const auto token = GENERATE(as<std::string>{}, "", "7", ":", "x:y");
    CHECK(at.ask("1", token) == answer_state::unknown);
    CHECK(at.ask("2", earlier.token()) == answer_state::unknown);
    CHECK(at.start("2") == start_decision::fenced);

    const auto old = at.store.token();
    at.time.advance(2min);
    CHECK(at.ask("3", old) == answer_state::unknown);
    CHECK(at.ask("4") == answer_state::not_run);
}

TEST_CASE("answer_store: keeps a bounded number of bytes", "[relay]")
{
    // Guards against a small instance that runs out of memory by answers that nobody fetches.
    fixture at;
    const int count = 100;
    for (int each = 0; each < count; ++each) {
        const auto id = std::to_string(each);
        CHECK(at.start(id) == start_decision::started);
        at.store.finish(id, fixture::answer(answer_store::max_body_bytes));
    }
    CHECK(at.store.kept_bytes() <= answer_store::max_total_bytes);
    CHECK(at.ask("0") == answer_state::unknown);
    CHECK(at.ask(std::to_string(count - 1)) == answer_state::kept);

    CHECK(at.start("large") == start_decision::started);
    at.store.finish("large", fixture::answer(answer_store::max_body_bytes + 1));
    CHECK(at.ask("large") == answer_state::unknown);
}
