#include "action/issued_action_table.h"
#include "base/error_kind.h"
#include "base/manual_clock.h"

#include <catch2/catch.hpp>

#include <rapidcheck.h>

using namespace galenaroad;
using namespace std::chrono_literals;

namespace {

const daemon_identity issuer{"a", "127.0.0.1:7001", 0x18fULL};

struct table_fixture {
    manual_clock time;
    issued_action_limits limits;
    issued_action_table table{issuer, "secret", time, limits};

    explicit table_fixture(issued_action_limits with = {}) : limits(with) {}
    issued_key issue() { return *issued_key::parse(*table.issue()); }
};

} // namespace

TEST_CASE("issued_key: a parsed key equals the original", "[action]")
{
    // Guards against keys that another daemon attributes to the wrong issuer.
    CHECK(rc::check("round trip", [](std::uint64_t incarnation, std::uint64_t serial) {
        const issued_key key("[::1]:7001", incarnation, serial, "secret");
        const auto parsed = issued_key::parse(key.text());
        RC_ASSERT(parsed.has_value());
        RC_ASSERT(parsed->text() == key.text());
        RC_ASSERT(parsed->issuer_address() == "[::1]:7001");
        RC_ASSERT(parsed->incarnation() == incarnation && parsed->serial() == serial);
        RC_ASSERT(parsed->is_authentic("secret") && !parsed->is_authentic("other"));
    }));
    for (const std::string text :
         {"gr1.", "gr1.a.1.2", "gr1...1.0123456789abcdef", "gr1.1.2.0123456789abcdef",
          "gr1.a.x1.2.0123456789abcdef", "gr1.a.1.11111111111111111.0123456789abcdef", "gr2.a"}) {
        CHECK(kind_of(issued_key::parse(text).error()) == error_kind::invalid_request);
    }
}

TEST_CASE("issued_action_table: an issued key starts at most once", "[action]")
{
    // Guards against a second start while the action runs, after it ended, and after its eviction.
    table_fixture f;
    const auto key = f.issue();
    REQUIRE(f.table.begin(key, "d").kind == issued_start_kind::run);
    CHECK(f.table.begin(key, "d").kind == issued_start_kind::in_progress);
    CHECK(f.table.begin(key, "other").kind == issued_start_kind::key_reused);
    f.table.complete(key.serial(), {200, {}, "belt"});
    CHECK(f.table.begin(key, "d").response.body == "belt");
    CHECK(f.table.begin(key, "other").kind == issued_start_kind::key_reused);
    f.time.advance(10min + 1ms);
    CHECK(f.table.begin(key, "d").kind == issued_start_kind::outcome_unknown);
    CHECK(f.table.responses() == 0);
}

TEST_CASE("issued_action_table: a key is unused again only when its action did not run", "[action]")
{
    // Guards against a second start after an unknown outcome.
    table_fixture f;
    const auto released = f.issue();
    const auto unknown = f.issue();
    REQUIRE(f.table.begin(released, "d").kind == issued_start_kind::run);
    REQUIRE(f.table.begin(unknown, "d").kind == issued_start_kind::run);
    f.table.release(released.serial());
    f.table.mark_unknown(unknown.serial());
    CHECK(f.table.begin(released, "other").kind == issued_start_kind::key_reused);
    CHECK(f.table.begin(released, "d").kind == issued_start_kind::run);
    CHECK(f.table.begin(unknown, "d").kind == issued_start_kind::outcome_unknown);
}

TEST_CASE("issued_action_table: forged keys and keys of other incarnations are refused", "[action]")
{
    // Guards against keys of an earlier incarnation and against guessed serials.
    table_fixture f;
    f.issue();
    const auto begin = [&](const issued_key& key) { return f.table.begin(key, "d").kind; };
    CHECK(begin({issuer.peer_address, issuer.incarnation, 1, "guess"}) ==
          issued_start_kind::invalid);
    CHECK(begin({issuer.peer_address, issuer.incarnation - 1, 1, "secret"}) ==
          issued_start_kind::invalid);
    CHECK(begin({issuer.peer_address, issuer.incarnation, 1, "secret"}) == issued_start_kind::run);
}

TEST_CASE("issued_action_table: memory is bounded by count, bytes and time", "[action]")
{
    // Guards against unbounded growth, and against the eviction of more records than necessary.
    issued_action_limits limits;
    limits.max_unused_keys = 3;
    limits.max_responses = 2;
    limits.max_response_bytes = 100;
    table_fixture f(limits);
    std::vector<issued_key> keys;
    keys.reserve(3);
    for (int i = 0; i < 3; ++i) {
        keys.push_back(f.issue());
    }
    CHECK(kind_of(f.table.issue().error()) == error_kind::upstream_busy);
    for (const auto& key : keys) {
        f.table.begin(key, "d");
        f.table.complete(key.serial(), {200, {}, std::string(10, 'x')});
    }
    CHECK(f.table.responses() == 2);
    CHECK(f.table.begin(keys[0], "d").kind == issued_start_kind::outcome_unknown);
    CHECK(f.table.begin(keys[1], "d").kind == issued_start_kind::recorded);
    const auto large = f.issue();
    f.table.begin(large, "d");
    f.table.complete(large.serial(), {200, {}, std::string(95, 'x')});
    CHECK(f.table.responses() == 1);
    const auto late = f.issue();
    f.time.advance(10min + 1ms);
    CHECK(f.table.begin(late, "d").kind == issued_start_kind::outcome_unknown);
    CHECK(f.table.unused_keys() == 0);
}
