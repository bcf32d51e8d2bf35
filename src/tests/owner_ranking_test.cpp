#include "base/manual_clock.h"
#include "relay/owner_ranking.h"

#include <catch2/catch.hpp>

using namespace galenaroad;
using namespace std::chrono_literals;

namespace {

constexpr double order_bytes = 5000;
constexpr double download_bytes = 100'000;

struct fixture {
    manual_clock time;
    owner_directory directory;
    owner_ranking ranking{{"self", "ash-a", "ash"}, random_engine(20261204)};

    fixture()
    {
        time.advance(1h);
        add("near", "ash-a", "ash");
        add("far", "nor-a", "nor");
    }

    void add(const std::string& address, const std::string& data_centre, const std::string& region)
    {
        owner_record made;
        made.address = address;
        made.data_centre = data_centre;
        made.region = region;
        made.revision = 1;
        made.service = "orders";
        made.state = announced_state::ready;
        directory.merge(made);
    }

    std::string choose(double bytes, const std::set<std::string>& excluded = {},
                       condition_limits skips = {}, bool may_repeat = false)
    {
        const owner_wish wish{"orders", excluded, bytes, skips, may_repeat};
        const auto* const found = ranking.choose(directory, wish, time.steady_now()).record;
        return found == nullptr ? "" : found->address;
    }
};

} // namespace

TEST_CASE("owner_ranking: near owners first, unless their upstream is failing", "[relay]")
{
    // Guards against bytes between regions on a calm day, and against requests that stay with a
    // failing upstream because it is near.
    fixture at;
    CHECK(at.choose(order_bytes) == "near");
    at.ranking.note_condition("near", {0.95, 0}, at.time.steady_now());
    CHECK(at.choose(order_bytes) == "far");
    at.time.advance(10s);
    CHECK(at.choose(order_bytes) == "near");
}

TEST_CASE("owner_ranking: large answers stay near in spite of some doubt", "[relay]")
{
    // Guards against downloads across regions, whose bytes cost as much as the request is worth.
    fixture at;
    at.ranking.note_condition("near", {0.6, 0}, at.time.steady_now());
    CHECK(at.choose(order_bytes) == "far");
    CHECK(at.choose(download_bytes) == "near");
}

TEST_CASE("owner_ranking: an unreachable owner is avoided for a growing time", "[relay]")
{
    // Guards against each request waiting for a connection to a machine without power.
    fixture at;
    at.ranking.note_unreachable("near", at.time.steady_now());
    CHECK(at.choose(order_bytes) == "far");
    at.time.advance(600ms);
    CHECK(at.choose(order_bytes) == "near");
    at.ranking.note_unreachable("near", at.time.steady_now());
    at.time.advance(600ms);
    CHECK(at.choose(order_bytes) == "far");
    at.ranking.note_condition("near", {0, 0}, at.time.steady_now());
    CHECK(at.choose(order_bytes) == "near");
}

TEST_CASE("owner_ranking: an owner that has just told that it would refuse is not asked", "[relay]")
{
    // Guards against the messages of an overload: 12,000 refusals in 30 s on tvw-mesh.
    fixture at;
    const condition_limits limits{0.4, 1.4};
    at.ranking.note_condition("near", {0.1, 3.0}, at.time.steady_now());
    CHECK(at.choose(order_bytes, {}, limits) == "far");
    CHECK(at.choose(order_bytes, {"far"}, limits).empty());
    at.time.advance(1s);
    CHECK(at.choose(order_bytes, {"far"}, limits) == "near");
}

TEST_CASE("owner_ranking: an upstream that has just joined gets requests", "[relay]")
{
    // Guards against quiet-1 on tvw-mesh: four upstreams joined a service and got nothing, because
    // the others had just told that they were sound.
    fixture at;
    at.ranking.note_condition("near", {0.06, 0.4}, at.time.steady_now());
    at.add("joined", "ash-a", "ash");
    CHECK(at.choose(order_bytes) == "joined");
}

TEST_CASE("owner_ranking: news of other daemons steers, older news does not", "[relay]")
{
    // Guards against a daemon that meets a failing upstream which its neighbours have just met, and
    // against late messages that bring back what was known before.
    fixture at;
    const auto now = at.time.steady_now();
    at.ranking.note_news("near", {0.95, 0}, now);
    CHECK(at.choose(order_bytes) == "far");
    at.ranking.note_news("near", {0.01, 0}, now - 100ms);
    CHECK(at.choose(order_bytes) == "far");
    at.ranking.note_unreachable("far", now);
    at.ranking.note_news("far", {0.01, 0}, now + 1ms);
    CHECK(at.choose(order_bytes) == "near");
}

TEST_CASE("owner_ranking: no sound owner of the data centre is left without work", "[relay]")
{
    // Guards against the floor broken on trouble-2 and on the drawn day fresh-ba60 of
    // brazos-wheelworks-grown: at a fifth of its load, a service's requests all went to the owners
    // that had just answered, and none to those that nobody had heard of.
    fixture at;
    at.add("idle", "ash-a", "ash");
    at.ranking.note_news("idle", {0.06, 0}, at.time.steady_now());
    at.time.advance(800ms);
    at.ranking.note_news("near", {0.03, 0.1}, at.time.steady_now());
    constexpr bool may_repeat = true;
    CHECK(at.choose(order_bytes, {}, {}, may_repeat) == "idle");
    CHECK(at.choose(order_bytes) == "near");
    at.ranking.note_news("idle", {0.03, 0.1}, at.time.steady_now());
    at.add("unheard", "ash-a", "ash");
    CHECK(at.choose(order_bytes, {}, {}, may_repeat) == "unheard");
    CHECK(at.choose(order_bytes) != "unheard");
}

TEST_CASE("owner_ranking: an owner that is leaving is asked by nobody for a while", "[relay]")
{
    // Guards against scale-1 on brazos-wheelworks-grown: while daemons were restarted in turn, two
    // of three questions went to owners that refused everything, and searches ended with them.
    fixture at;
    at.ranking.note_news("near", {0, 0, false}, at.time.steady_now());
    CHECK(at.choose(order_bytes) == "far");
    at.time.advance(2s);
    CHECK(at.choose(order_bytes) == "near");
}

TEST_CASE("owner_ranking: requests that can be sent again try owners that failed", "[relay]")
{
    // Guards against the floor broken on trouble-2 of brazos-wheelworks-grown: sound upstreams got
    // nothing for two seconds, since they had failed before, while a fifth of the orders was not
    // served.
    fixture at;
    at.add("idle", "ash-a", "ash");
    constexpr bool may_repeat = true;
    at.ranking.note_news("idle", {0.95, 0}, at.time.steady_now());
    at.time.advance(800ms);
    at.ranking.note_news("near", {0.01, 0}, at.time.steady_now());
    CHECK(at.choose(order_bytes, {}, {}, may_repeat) == "near");
    at.time.advance(2400ms);
    at.ranking.note_news("near", {0.01, 0}, at.time.steady_now());
    CHECK(at.choose(order_bytes, {}, {}, may_repeat) == "idle");
    CHECK(at.choose(order_bytes) == "near");
    // A further attempt would be refused now.
    at.time.advance(2400ms);
    at.ranking.note_news("near", {0.01, 0}, at.time.steady_now());
    at.ranking.note_budget_used_up("orders", at.time.steady_now());
    CHECK(at.choose(order_bytes, {}, {}, may_repeat) == "near");
    at.time.advance(1100ms);
    at.ranking.note_news("near", {0.01, 0}, at.time.steady_now());
    CHECK(at.choose(order_bytes, {}, {}, may_repeat) == "idle");
}

TEST_CASE("owner_ranking: refusals do not put off the trial of an owner in doubt", "[relay]")
{
    // Guards against incident 1623: an owner of orders refused requests for doubt, each refusal
    // counted as news of its upstream, and the upstream got no request for seven seconds.
    fixture at;
    at.add("idle", "ash-a", "ash");
    constexpr bool may_repeat = true;
    at.ranking.note_news("idle", {0.95, 0}, at.time.steady_now());
    at.time.advance(2s);
    at.ranking.note_condition("idle", {0.6, 0}, at.time.steady_now());
    at.time.advance(1200ms);
    at.ranking.note_news("near", {0.01, 0}, at.time.steady_now());
    CHECK(at.choose(order_bytes, {}, {}, may_repeat) == "idle");
}

TEST_CASE("owner_ranking: a failed owner is tried with time left for a rare request", "[relay]")
{
    // Guards against incident 1623: the calls that could try owners of orders came once in a second
    // or two, and the upstream has to have one within four seconds of its failure.
    fixture at;
    at.add("idle", "ash-a", "ash");
    constexpr bool may_repeat = true;
    at.ranking.note_news("idle", {0.95, 0, true, 0ms}, at.time.steady_now());
    at.time.advance(2100ms);
    at.ranking.note_news("near", {0.01, 0}, at.time.steady_now());
    CHECK(at.choose(order_bytes, {}, {}, may_repeat) == "idle");
    CHECK(at.choose(order_bytes, {}, {}, may_repeat) == "near");
}

TEST_CASE("owner_ranking: an owner that goes on failing costs few requests", "[relay]")
{
    // Guards against a request a second that meets an upstream which has failed for a minute.
    fixture at;
    at.add("failing", "ash-a", "ash");
    constexpr bool may_repeat = true;
    int trials = 0;
    for (auto elapsed = 0ms; elapsed < 60s; elapsed += 100ms) {
        at.ranking.note_news("near", {0.01, 0}, at.time.steady_now());
        if (at.choose(order_bytes, {}, {}, may_repeat) == "failing") {
            at.ranking.note_news("failing", {0.95, 0}, at.time.steady_now());
            ++trials;
        }
        at.time.advance(100ms);
    }
    CHECK(trials >= 15);
    CHECK(trials <= 20);
}
