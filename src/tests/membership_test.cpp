#include "membership/membership.h"

#include "experiment/control_fleet.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace galenaroad;
using namespace std::chrono_literals;

namespace {

fleet_shape small_fleet(int daemons, std::uint64_t seed)
{
    fleet_shape shape;
    shape.daemons = daemons;
    shape.upstreams_per_daemon = 2;
    shape.services = 6;
    shape.seed = seed;
    return shape;
}

/// Starts a fleet and runs it until its members have converged.
std::unique_ptr<control_fleet> joined_fleet(const fleet_shape& shape)
{
    auto fleet = std::make_unique<control_fleet>(shape);
    fleet->start_all();
    const auto took = fleet->run_until(60s, [&] { return fleet->converged(); });
    RC_ASSERT(took >= 0ms);
    return fleet;
}

bool accepts_requests(const control_fleet& fleet, int index, int other)
{
    const auto state = fleet.state_seen(index, other);
    return state == instance_state::alive || state == instance_state::suspect;
}

/// Checks that no running daemon would still send requests to another.
bool out_of_all_views(const control_fleet& fleet, int other)
{
    for (int i = 0; i < fleet.size(); ++i) {
        if (i != other && fleet.running(i) && accepts_requests(fleet, i, other)) {
            return false;
        }
    }
    return true;
}

int upstreams_seen(const control_fleet& fleet, int index, int other)
{
    const auto view = fleet[index].members().view();
    const auto* found = view->find(fleet.identity(other).name);
    return found == nullptr ? -1 : static_cast<int>(found->record->upstreams.size());
}

} // namespace

TEST_CASE("membership: a fleet converges after a partition heals", "[membership]")
{
    // Guards against sides that keep each other's members dead after a partition, and against
    // separate groups that formed at the start and never merge.
    CHECK(rc::check("sides of a random, possibly one-way cut merge within 60 s", [] {
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        const auto daemons = *rc::gen::inRange(4, 14);
        const auto cut_seconds = *rc::gen::inRange(1, 40);
        const auto one_way = *rc::gen::arbitrary<bool>();
        auto fleet = joined_fleet(small_fleet(daemons, seed));
        const auto border = *rc::gen::inRange(1, daemons);
        fleet->faults().cut = [=](int from, int to) {
            const bool across = (from < border) != (to < border);
            return across && (!one_way || from < border);
        };
        fleet->run_for(std::chrono::seconds(cut_seconds));
        fleet->faults().cut = {};
        RC_ASSERT(fleet->run_until(60s, [&] { return fleet->converged(); }) >= 0ms);
    }));
}

TEST_CASE("membership: no live member is lost when a partition heals", "[membership]")
{
    // Guards against dissemination of outdated `dead` states: a side must not lose its own live
    // members when the other side, which considers them dead, is reachable again.
    auto fleet = std::make_unique<control_fleet>(small_fleet(60, 12));
    fleet->start_all();
    REQUIRE(fleet->run_until(60s, [&] { return fleet->converged(); }) >= 0ms);
    // Daemons are assigned to the regions in turn, so this cuts off one region of three.
    fleet->faults().cut = [](int from, int to) { return (from % 3 == 0) != (to % 3 == 0); };
    fleet->run_for(60s);
    CHECK(fleet->state_seen(0, 1) == instance_state::dead);
    fleet->faults().cut = {};
    bool lost_member = false;
    const auto merged = fleet->run_until(90s, [&] {
        for (int i = 0; i < 60; ++i) {
            lost_member = lost_member || !accepts_requests(*fleet, i, (i + 3) % 60);
            lost_member = lost_member || !accepts_requests(*fleet, i, (i + 30) % 60);
        }
        return fleet->converged();
    });
    CHECK(merged >= 0ms);
    CHECK_FALSE(lost_member);
}

TEST_CASE("membership: no live reachable member stays dead", "[membership]")
{
    // Guards against permanent false `dead` states after message loss, reordering, restarts and
    // frozen daemons.
    CHECK(rc::check("after random faults every running daemon is alive in every view", [] {
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        const auto loss = *rc::gen::inRange(0, 30);
        auto fleet = joined_fleet(small_fleet(8, seed));
        fleet->faults().loss = loss / 100.0;
        fleet->faults().extra_delay = std::chrono::milliseconds(*rc::gen::inRange(0, 400));
        const auto restarted = *rc::gen::inRange(0, 8);
        const auto frozen = (restarted + 1) % 8;
        fleet->start(restarted);
        fleet->freeze(frozen, true);
        fleet->run_for(std::chrono::seconds(*rc::gen::inRange(1, 20)));
        fleet->freeze(frozen, false);
        fleet->faults().loss = 0;
        fleet->faults().extra_delay = 0ms;
        RC_ASSERT(fleet->run_until(60s, [&] { return fleet->converged(); }) >= 0ms);
    }));
}

TEST_CASE("membership: a leaving daemon gets no new requests after 3 s", "[membership]")
{
    // Guards against peers that send new requests to a daemon that is shutting down (invariant 5).
    CHECK(rc::check(
        "all views drop a leaving daemon in 3 s with 10 % loss, and a withdrawn upstream", [] {
            auto fleet = joined_fleet(small_fleet(12, *rc::gen::arbitrary<std::uint64_t>()));
            RC_ASSERT(fleet->run_until(30s, [&] { return upstreams_seen(*fleet, 0, 5) == 2; }) >=
                      0ms);
            fleet->faults().loss = 0.1;
            const auto leaving = *rc::gen::inRange(0, 12);
            const auto withdrawing = (leaving + 1) % 12;
            (*fleet)[leaving].leave();
            (*fleet)[withdrawing].withdraw("upstream-1");
            const auto done = [&] {
                for (int i = 0; i < 12; ++i) {
                    if (upstreams_seen(*fleet, i, withdrawing) != 1) {
                        return false;
                    }
                }
                return out_of_all_views(*fleet, leaving);
            };
            RC_ASSERT(fleet->run_until(3s, done) >= 0ms);
        }));
}

TEST_CASE("membership: the leaving check detects a daemon that sends nothing", "[membership]")
{
    // Shows that the check of the 3 s limit detects an injected fault: a blocked notification.
    auto fleet = std::make_unique<control_fleet>(small_fleet(6, 7));
    fleet->start_all();
    REQUIRE(fleet->run_until(60s, [&] { return fleet->converged(); }) >= 0ms);
    fleet->faults().cut = [](int from, int) { return from == 2; };
    (*fleet)[2].leave();
    CHECK(fleet->run_until(3s, [&] { return out_of_all_views(*fleet, 2); }) < 0ms);
}

TEST_CASE("membership: the convergence check detects a permanent partition", "[membership]")
{
    // Shows that the convergence check detects an injected fault: a daemon that stays cut off.
    auto fleet = std::make_unique<control_fleet>(small_fleet(6, 8));
    fleet->start_all();
    REQUIRE(fleet->run_until(60s, [&] { return fleet->converged(); }) >= 0ms);
    fleet->faults().cut = [](int from, int to) { return (from == 0) != (to == 0); };
    fleet->run_for(10s);
    CHECK_FALSE(fleet->converged());
}

TEST_CASE("membership: a dead daemon is removed from all views", "[membership]")
{
    // Guards against failure detection that misses a stopped daemon or exceeds its time limit: one
    // round of pings in the data centre, 1 s for the failed ping and 3 s of suspicion.
    auto fleet = std::make_unique<control_fleet>(small_fleet(12, 9));
    fleet->start_all();
    REQUIRE(fleet->run_until(60s, [&] { return fleet->converged(); }) >= 0ms);
    fleet->kill(4);
    CHECK(fleet->run_until(10s, [&] { return out_of_all_views(*fleet, 4); }) >= 0ms);
    fleet->start(4);
    CHECK(fleet->run_until(60s, [&] { return fleet->converged(); }) >= 0ms);
}

TEST_CASE("membership: a one-way cut does not make the member dead", "[membership]")
{
    // Guards against a member declared dead because of one broken link while other daemons still
    // reach it.
    auto fleet = std::make_unique<control_fleet>(small_fleet(12, 10));
    fleet->start_all();
    REQUIRE(fleet->run_until(60s, [&] { return fleet->converged(); }) >= 0ms);
    fleet->faults().cut = [](int from, int to) { return from == 0 && to == 6; };
    for (int i = 0; i < 60; ++i) {
        fleet->run_for(1s);
        CHECK(accepts_requests(*fleet, 0, 6));
        CHECK(accepts_requests(*fleet, 1, 6));
    }
}

TEST_CASE("membership: an ejection row keeps the validity set by its writer", "[membership]")
{
    // Guards against copies that outlive the grant because a hop does not subtract the time that it
    // held the row, and against an older row accepted after the newer one has expired.
    CHECK(rc::check("a row of 5 s at eight daemons", [] {
        auto fleet = joined_fleet(small_fleet(8, *rc::gen::arbitrary<std::uint64_t>()));
        const service_id service{"tetteh", "finder"};
        (*fleet)[0].members().broadcast(ejection_row_copy{service, 5, "{}", 5000ms});
        fleet->run_for(2s);
        // Only holding times are subtracted: each of at most 7 hops may add its latency of 12 ms.
        const auto max_remaining = 3000ms + 7 * 12ms;
        for (int i = 0; i < 8; ++i) {
            const auto rows = (*fleet)[i].members().ejection_rows();
            RC_ASSERT(rows.size() == 1U);
            RC_ASSERT(rows.front().remaining.count() <= max_remaining.count());
            RC_ASSERT(rows.front().remaining.count() > 2500);
        }
        (*fleet)[3].members().broadcast(ejection_row_copy{service, 4, "{\"old\":1}", 30000ms});
        fleet->run_for(3100ms);
        for (int i = 0; i < 8; ++i) {
            RC_ASSERT((*fleet)[i].members().ejection_rows().empty());
        }
    }));
}
