#include "base/manual_clock.h"
#include "relay/response_store.h"

#include <catch2/catch.hpp>

using namespace galenaroad;
using namespace std::chrono_literals;

namespace {

struct fixture {
    manual_clock time;
    response_store store{time, random_engine(1)};

    fixture() { time.advance(1h); }

    start_decision start(const std::string& id) { return store.start(id, time.steady_now() + 4s); }

    response_state look_up(const std::string& id) { return look_up(id, store.token()); }

    response_state look_up(const std::string& id, const std::string& token)
    {
        return store.look_up({id, token});
    }

    static stored_response make_response(std::size_t bytes = 4)
    {
        stored_response result;
        result.head.status = 200;
        result.body = std::string(bytes, 'x');
        return result;
    }
};

} // namespace

TEST_CASE("response_store: a response can be fetched after its connection was lost", "[relay]")
{
    // Guards against "outcome unknown" for an order that has run.
    fixture setup;
    CHECK(setup.start("1") == start_decision::started);
    CHECK(setup.look_up("1") == response_state::pending);
    std::string received;
    setup.store.when_finished("1", [&](const stored_response& stored) { received = stored.body; });
    setup.store.finish("1", fixture::make_response());
    CHECK(received == "xxxx");
    CHECK(setup.look_up("1") == response_state::stored);
    CHECK(setup.store.response("1").body == "xxxx");
    setup.time.advance(21s);
    CHECK(setup.look_up("1") == response_state::unknown);
    CHECK(setup.store.stored_bytes() == 0);
}

TEST_CASE("response_store: a request that was queried before it arrived never runs", "[relay]")
{
    // Guards against an order that runs twice: once where it was delayed, and once elsewhere.
    fixture setup;
    CHECK(setup.look_up("1") == response_state::not_run);
    CHECK(setup.start("1") == start_decision::fenced);
    CHECK(setup.look_up("1") == response_state::not_run);
}

TEST_CASE("response_store: reports no outcome for the time before it started", "[relay]")
{
    // Guards against a false "not run" from an owner that has restarted or no longer tracks the
    // request.
    fixture setup;
    const response_store earlier(setup.time, random_engine(2));
    const auto token = GENERATE(as<std::string>{}, "", "7", ":", "x:y");
    CHECK(setup.look_up("1", token) == response_state::unknown);
    CHECK(setup.look_up("2", earlier.token()) == response_state::unknown);
    CHECK(setup.start("2") == start_decision::fenced);

    const auto old = setup.store.token();
    setup.time.advance(2min);
    CHECK(setup.look_up("3", old) == response_state::unknown);
    CHECK(setup.look_up("4") == response_state::not_run);
}

TEST_CASE("response_store: stores a bounded number of bytes", "[relay]")
{
    // Guards against a small instance that runs out of memory because of responses that nobody
    // fetches.
    fixture setup;
    const int count = 100;
    for (int each = 0; each < count; ++each) {
        const auto id = std::to_string(each);
        CHECK(setup.start(id) == start_decision::started);
        setup.store.finish(id, fixture::make_response(response_store::max_body_bytes));
    }
    CHECK(setup.store.stored_bytes() <= response_store::max_total_bytes);
    CHECK(setup.look_up("0") == response_state::unknown);
    CHECK(setup.look_up(std::to_string(count - 1)) == response_state::stored);

    CHECK(setup.start("large") == start_decision::started);
    setup.store.finish("large", fixture::make_response(response_store::max_body_bytes + 1));
    CHECK(setup.look_up("large") == response_state::unknown);
}
