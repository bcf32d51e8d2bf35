#include "action/action_ledger.h"
#include "base/error_kind.h"
#include "base/manual_clock.h"
#include "platform/memory_object_store.h"
#include "platform/memory_table_service.h"
#include "tests/support/unreliable_table_service.h"

#include <catch2/catch.hpp>

#include <set>

using namespace galenaroad;
using namespace std::chrono_literals;

namespace {

struct ledger_fixture {
    manual_clock time;
    memory_table_service tables;
    memory_object_store objects;
    std::set<std::string> stopped_instances;
    attempt_id_source attempts_a{{"a", "127.0.0.1:1", 1}, random_engine(1)};
    attempt_id_source attempts_b{{"b", "127.0.0.1:2", 1}, random_engine(2)};
    action_ledger a{tables, objects, time, attempts_a, alive()};
    action_ledger b{tables, objects, time, attempts_b, alive()};

    incarnation_alive alive()
    {
        return [this](const std::string& instance, std::uint64_t) {
            return stopped_instances.count(instance) == 0;
        };
    }
    keyed_request request(const std::string& digest = "d") const
    {
        return {"tetteh", "order-1", digest, time.steady_now() + 2s};
    }
    // Loses the responses of all calls to the table service: writes are applied, reads fail.
    void break_store()
    {
        store_faults faults;
        faults.lose_response = [](const store_call&) { return true; };
        tables.inject(faults);
    }
    void restore_store() { tables.inject({}); }
};

recorded_response response_of(const std::string& body)
{
    return {201, {{"Content-Type", "application/octet-stream"}}, body};
}

} // namespace

TEST_CASE("action_ledger: a key changes from claimed to recorded", "[action]")
{
    // Guards against a second start of a claimed or completed action.
    ledger_fixture f;
    const auto won = f.a.claim(f.request());
    REQUIRE(won.kind == claim_kind::won);
    CHECK(f.a.claim(f.request()).kind == claim_kind::in_progress);
    CHECK(f.b.claim(f.request()).kind == claim_kind::in_progress);
    CHECK(f.b.claim(f.request("other")).kind == claim_kind::key_reused);
    const auto size = GENERATE(std::size_t{0}, std::size_t{16384}, std::size_t{16385});
    std::string body(size, '\xff');
    CHECK(f.a.complete(won.claim, response_of(body)));
    const auto replay = f.b.claim(f.request());
    REQUIRE(replay.kind == claim_kind::recorded);
    CHECK(replay.response.status == 201);
    CHECK(replay.response.headers.front().value == "application/octet-stream");
    CHECK(replay.response.body == body);
    CHECK(f.b.claim(f.request("other")).kind == claim_kind::key_reused);
}

TEST_CASE("action_ledger: the outcome is unknown when the claiming daemon has stopped", "[action]")
{
    // Guards against claims that expire like a lease.
    ledger_fixture f;
    REQUIRE(f.a.claim(f.request()).kind == claim_kind::won);
    f.stopped_instances.insert("a");
    f.time.advance(24h);
    CHECK(f.b.claim(f.request()).kind == claim_kind::outcome_unknown);
}

TEST_CASE("action_ledger: an attempt with an unknown outcome is not in progress", "[action]")
{
    // Guards against callers that wait for an attempt that has ended. A late response is recorded.
    ledger_fixture f;
    const auto won = f.a.claim(f.request());
    CHECK(f.a.mark_unknown(won.claim));
    CHECK(f.b.claim(f.request()).kind == claim_kind::outcome_unknown);
    CHECK(f.a.complete(won.claim, response_of("late")));
    CHECK(f.b.claim(f.request()).response.body == "late");
}

TEST_CASE("action_ledger: a lost claim response is resolved by reading the row", "[action]")
{
    // Guards against a daemon that does not recognise the row of its own claim.
    ledger_fixture f;
    store_faults faults;
    faults.lose_response = [](const store_call& call) { return is_write(call.operation); };
    f.tables.inject(faults);
    const auto won = f.a.claim(f.request());
    REQUIRE(won.kind == claim_kind::won);
    f.restore_store();
    CHECK(f.a.release(won.claim, not_run_proof::owner_refused));
    CHECK(f.b.claim(f.request()).kind == claim_kind::won);
}

TEST_CASE("action_ledger: a claim that may have been written is released later", "[action]")
{
    // Guards against a key that stays blocked by a request that was refused without having run.
    ledger_fixture f;
    f.break_store();
    CHECK(f.a.claim(f.request()).kind == claim_kind::store_unavailable);
    CHECK(f.a.pending_releases() == 1);
    CHECK(f.a.retry_pending(10) == 0);
    f.restore_store();
    SECTION("in the background")
    {
        CHECK(f.b.claim(f.request()).kind == claim_kind::in_progress);
        CHECK(f.a.retry_pending(10) == 1);
        CHECK(f.b.claim(f.request()).kind == claim_kind::won);
    }
    SECTION("when the caller retries at the same daemon")
    {
        CHECK(f.a.claim(f.request()).kind == claim_kind::won);
    }
    CHECK(f.a.pending_releases() == 0);
}

TEST_CASE("action_ledger: a release does not replace another daemon's claim", "[action]")
{
    // Guards against a second start: the response of a release is lost, another daemon claims the
    // key before the row is read again, and the first daemon replaces that claim.
    ledger_fixture f;
    f.break_store();
    CHECK(f.a.claim(f.request()).kind == claim_kind::store_unavailable);
    auto claimed_by_b = claim_kind::store_unavailable;
    bool released = false;
    store_faults faults;
    faults.lose_response = [&](const store_call& call) {
        if (call.operation != store_operation::update || released) {
            return false;
        }
        released = true;
        claimed_by_b = f.b.claim(f.request()).kind;
        return true;
    };
    f.tables.inject(faults);
    CHECK(f.a.claim(f.request()).kind == claim_kind::store_unavailable);
    CHECK(claimed_by_b == claim_kind::won);
    CHECK(f.a.claim(f.request()).kind == claim_kind::in_progress);
    CHECK(f.a.pending() == 0);
}

TEST_CASE("action_ledger: a delayed claim is not applied after its release", "[action]")
{
    // Guards against a claim that is written after the daemon found no row and refused the request.
    ledger_fixture f;
    f.break_store();
    CHECK(f.a.claim(f.request()).kind == claim_kind::store_unavailable);
    f.restore_store();
    const auto row = f.tables.read("actions", "tetteh/order-1");
    REQUIRE(!f.tables.remove("actions", "tetteh/order-1", row->tag));
    CHECK(f.a.retry_pending(10) == 1);
    CHECK(!f.tables.insert("actions", "tetteh/order-1", row->value));
    CHECK(f.b.claim(f.request()).kind == claim_kind::won);
}

TEST_CASE("action_ledger: a delayed claim of a released key is not applied after its release",
          "[action]")
{
    // Guards against a claim by update that is delayed and still matches the tag of the released
    // row.
    ledger_fixture f;
    REQUIRE(f.b.release(f.b.claim(f.request()).claim, not_run_proof::fenced));
    late_effects late;
    random_engine random(1);
    store_fault_shares shares;
    bool planted = false;
    unreliable_table_service slow({f.tables, late, random, shares, planted, [] {}});
    action_ledger ledger(slow, f.objects, f.time, f.attempts_a, f.alive());
    shares.late_effect = 1;
    store_faults faults;
    faults.fail_before_effect = [&](const store_call&) { return late.size() == 2; };
    f.tables.inject(faults);
    CHECK(ledger.claim(f.request()).kind == claim_kind::store_unavailable);
    REQUIRE(ledger.pending_releases() == 1);
    shares.late_effect = 0;
    f.tables.inject({});
    CHECK(ledger.retry_pending(1) == 1);
    for (const auto& effect : late) {
        effect();
    }
    CHECK(f.b.claim(f.request()).kind == claim_kind::won);
}

TEST_CASE("action_ledger: an unconfirmed response is recorded later", "[action]")
{
    // Guards against completed actions whose responses are lost for callers.
    ledger_fixture f;
    const auto won = f.a.claim(f.request());
    store_faults faults;
    faults.fail_before_effect = [](const store_call&) { return true; };
    f.tables.inject(faults);
    CHECK_FALSE(f.a.complete(won.claim, response_of("belt")));
    CHECK(f.b.claim(f.request()).kind == claim_kind::store_unavailable);
    CHECK(f.b.pending() == 0);
    f.restore_store();
    CHECK(f.a.claim(f.request()).response.body == "belt");
    CHECK(f.a.retry_pending(10) == 1);
    CHECK(f.b.claim(f.request()).response.body == "belt");
}

TEST_CASE("action_ledger: memory for unconfirmed settlements is bounded", "[action]")
{
    // Guards against an outage of the store for hours that exhausts the daemon's memory.
    ledger_fixture f;
    action_ledger small(f.tables, f.objects, f.time, f.attempts_a, f.alive(), {16, 2, 10});
    f.break_store();
    for (int i = 0; i < 5; ++i) {
        keyed_request request = f.request();
        request.key += std::to_string(i);
        CHECK(small.claim(request).kind == claim_kind::store_unavailable);
    }
    CHECK(small.pending_releases() == 2);
}

TEST_CASE("action_ledger: an unreadable row never leads to a start", "[action]")
{
    // Guards against rows of a newer version, and damaged rows, that are treated as unused keys.
    ledger_fixture f;
    const auto text = GENERATE("{}", "[1]", "not json",
                               R"({"state":"paused","attempt":"x","instance":"a",)"
                               R"("incarnation":1,"digest":"d"})");
    REQUIRE(f.tables.insert("actions", "tetteh/order-1", text));
    CHECK(f.a.claim(f.request()).kind == claim_kind::outcome_unknown);
}
