#include "relay/store_restore_responder.h"

#include "support/relay_test_fleet.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace galenaroad;
using namespace std::chrono_literals;

TEST_CASE("store_restore_responder: the checks of all owners keep below the store's rate",
          "[relay]")
{
    // Guards against daemons that are refused by the store because all call it at once, and against
    // rows that are not back within two seconds.
    CHECK(rc::check([] {
        const auto owners = *rc::gen::inRange<std::size_t>(0, 20'000);
        const auto spread = store_restore_responder::spread(owners);
        RC_ASSERT(spread >= 250ms);
        RC_ASSERT(spread < 2s);
        const bool is_slow = owners * 1000 <= 1001 * static_cast<std::size_t>(spread.count());
        RC_ASSERT(is_slow || spread == 1500ms);
    }));
}

TEST_CASE("peer_state_codec: eras and digests of plans are decoded as they were", "[relay]")
{
    // Guards against followers that do not hear of a restore, and against other bytes on the wire
    // for stores without eras.
    peer_state state;
    state.plan_version = 3;
    state.plan_digest = ~std::uint64_t{0};
    CHECK(peer_state_codec::encode(state).find("digest") == std::string::npos);
    state.era = store_era(0);
    const auto decoded = peer_state_codec::decode_state(peer_state_codec::encode(state));
    REQUIRE(decoded);
    CHECK(decoded->era == state.era);
    CHECK(decoded->plan_digest == state.plan_digest);
    state_request request;
    CHECK(peer_state_codec::encode(request).find("era") == std::string::npos);
    request.reported_era = store_era(7);
    request.plan_digest = 5;
    request.reported_plan_digest = 6;
    const auto target = peer_state_codec::encode(request);
    const auto read = peer_state_codec::decode_request(target);
    REQUIRE(read);
    CHECK(read->reported_era == request.reported_era);
    CHECK(read->plan_digest == 5);
    CHECK(read->reported_plan_digest == 6);
}
