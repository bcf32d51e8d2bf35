#include "fleet/upstream_lifecycle.h"

#include <catch2/catch.hpp>

using namespace galenaroad;

namespace {

upstream_heartbeat heartbeat(const std::string& id, std::uint64_t start_time_ms,
                             std::uint64_t sequence, bool is_draining = false)
{
    upstream_heartbeat made;
    made.id = id;
    made.service = "orders";
    made.address = "127.0.0.1:1";
    made.start_time_ms = start_time_ms;
    made.sequence = sequence;
    made.is_draining = is_draining;
    return made;
}

owner_record record(announced_state state, std::uint64_t sequence)
{
    owner_record made;
    made.upstream_id = "i-1";
    made.service = "orders";
    made.state = state;
    made.start_time_ms = 100;
    made.sequence = sequence;
    return made;
}

} // namespace

TEST_CASE("upstream_lifecycle: a delayed heartbeat of an earlier start changes nothing", "[fleet]")
{
    // Guards against a heartbeat that a network partition delayed until its sender had crashed and
    // another upstream had registered.
    upstream_lifecycle lifecycle;
    lifecycle.on_heartbeat(heartbeat("i-1", 100, 7));
    CHECK(lifecycle.on_heartbeat(heartbeat("i-2", 200, 1)) == lifecycle_change::joined);
    CHECK(lifecycle.on_heartbeat(heartbeat("i-1", 100, 8)) == lifecycle_change::stale);
    REQUIRE(lifecycle.serving() != nullptr);
    CHECK(lifecycle.serving()->id == "i-2");
}

TEST_CASE("upstream_lifecycle: an upstream that starts again under its id is new", "[fleet]")
{
    // Guards against sequence numbers of the earlier start that make the new one look stale, and
    // against the earlier departure being applied to the new start.
    upstream_lifecycle lifecycle;
    lifecycle.on_heartbeat(heartbeat("i-1", 100, 50));
    lifecycle.on_departure("i-1", system_time());
    CHECK(lifecycle.serving() == nullptr);
    CHECK(lifecycle.on_heartbeat(heartbeat("i-1", 200, 1)) == lifecycle_change::joined);
    CHECK(lifecycle.serving() != nullptr);
}

TEST_CASE("upstream_lifecycle: a departure survives a restart of the daemon", "[fleet]")
{
    // Guards against a daemon that is killed after it has acknowledged a departure and after its
    // restart accepts a late heartbeat. The record may arrive before or after the heartbeat.
    const auto state = GENERATE(announced_state::left, announced_state::draining);
    const bool is_record_first = GENERATE(true, false);
    upstream_lifecycle lifecycle;
    if (is_record_first) {
        lifecycle.restore(record(state, 9));
    }
    lifecycle.on_heartbeat(heartbeat("i-1", 100, 10));
    if (!is_record_first) {
        lifecycle.restore(record(state, 9));
    }
    CHECK(lifecycle.serving() == nullptr);
    CHECK(lifecycle.on_heartbeat(heartbeat("i-1", 100, 11)) != lifecycle_change::joined);
    CHECK(lifecycle.serving() == nullptr);
}

TEST_CASE("upstream_lifecycle: a restored upstream serves only after a heartbeat", "[fleet]")
{
    // Guards against requests to an upstream that stopped while its daemon was down.
    upstream_lifecycle lifecycle;
    lifecycle.restore(record(announced_state::ready, 9));
    CHECK(lifecycle.serving() == nullptr);
    lifecycle.on_heartbeat(heartbeat("i-1", 100, 10));
    CHECK(lifecycle.serving() != nullptr);
}

TEST_CASE("upstream_lifecycle: heartbeats out of order are recognised", "[fleet]")
{
    // Guards against a late ready state that overrides the draining state.
    upstream_lifecycle lifecycle;
    lifecycle.on_heartbeat(heartbeat("i-1", 100, 1));
    CHECK(lifecycle.on_heartbeat(heartbeat("i-1", 100, 3, true)) == lifecycle_change::draining);
    CHECK(lifecycle.on_heartbeat(heartbeat("i-1", 100, 2)) == lifecycle_change::stale);
    CHECK(lifecycle.on_heartbeat(heartbeat("i-1", 100, 4, true)) == lifecycle_change::none);
    CHECK(lifecycle.state() == announced_state::draining);
}
