#include "load/owner_search.h"

#include "base/manual_clock.h"

#include <catch2/catch.hpp>
#include <vector>

using namespace galenaroad;
using namespace std::chrono_literals;

namespace {

struct fixture {
    manual_clock time;
    owner_directory directory;
    owner_ranking ranking{{"self", "dc", "r"}, random_engine(20261204)};
    owner_search search{directory, ranking};

    explicit fixture(int owners)
    {
        time.advance(1h);
        for (int index = 0; index < owners; ++index) {
            owner_record record;
            record.address = "o" + std::to_string(index);
            record.data_centre = "dc";
            record.region = "r";
            record.revision = 1;
            record.service = "s";
            record.state = announced_state::ready;
            directory.merge(record);
        }
        search.begin("s", 5000);
    }

    /// Makes every owner refuse for the given reason until the search ends.
    std::vector<search_stage> refuse_all(owner_reason reason)
    {
        std::vector<search_stage> stages;
        for (const auto* owner = search.next(false, time.steady_now()); owner != nullptr;
             owner = search.next(false, time.steady_now())) {
            stages.push_back(search.stage());
            attempt_report report;
            report.reason = reason;
            report.retry_after = 300ms;
            search.record_refusal(owner->address, report, time.steady_now());
        }
        return stages;
    }
};

} // namespace

TEST_CASE("owner_search: the request waits after a few refusals by busy owners", "[relay]")
{
    // Guards against the messages of an overload, and against a refusal although a slot would have
    // become free in time.
    fixture setup(12);
    const auto stages = setup.refuse_all(owner_reason::busy);
    REQUIRE(stages.size() == 5);
    CHECK(stages[1] == search_stage::choosing);
    CHECK(stages[2] == search_stage::waiting);
    CHECK(stages[4] == search_stage::waiting);
    CHECK(setup.search.refusals() == 5);
    CHECK(setup.search.retry_after() == 300ms);
}

TEST_CASE("owner_search: an owner that cannot serve is asked once", "[relay]")
{
    // Guards against a search that returns to owners whose upstream has left.
    fixture setup(3);
    CHECK(setup.refuse_all(owner_reason::draining).size() == 3);
}

TEST_CASE("owner_search: owners that stop do not end the search", "[relay]")
{
    // Guards against requests that are refused or given up during a rolling restart although
    // sound upstreams are idle: six owners that were stopping refused them, and no other was asked.
    fixture setup(9);
    CHECK(setup.refuse_all(owner_reason::stopping).size() == 9);
    fixture large(40);
    CHECK(large.refuse_all(owner_reason::stopping).size() == 10);
}

TEST_CASE("owner_search: a restarted search asks busy owners again", "[relay]")
{
    // Guards against a retry without an owner because the first attempt had asked all of them.
    fixture setup(4);
    setup.refuse_all(owner_reason::busy);
    CHECK(setup.search.next(true, setup.time.steady_now()) == nullptr);
    setup.search.restart();
    CHECK(setup.search.stage() == search_stage::choosing);
    CHECK(setup.search.next(true, setup.time.steady_now()) != nullptr);
}

TEST_CASE("owner_search: only a running owner is an alternative", "[relay]")
{
    // Guards against a request that is interrupted by the exit of its owner although the other
    // owners stop as well.
    fixture setup(2);
    owner_health stopping;
    stopping.accepts_only_retryable = true;
    CHECK(setup.search.has_alternative_to("o0", setup.time.steady_now()));
    setup.ranking.record_health("o1", stopping, setup.time.steady_now());
    CHECK_FALSE(setup.search.has_alternative_to("o0", setup.time.steady_now()));
    CHECK(setup.search.has_alternative_to("o1", setup.time.steady_now()));
    setup.search.avoid_stopping_owners();
    setup.search.exclude("o0");
    CHECK(setup.search.next(true, setup.time.steady_now()) == nullptr);
}

TEST_CASE("owner_search: a suspect owner is asked again when there is no other", "[relay]")
{
    // Guards against refusing requests although the only upstream may be healthy.
    fixture setup(1);
    const auto stages = setup.refuse_all(owner_reason::in_doubt);
    REQUIRE(stages.size() == 2);
    CHECK(stages.back() == search_stage::waiting);
}

TEST_CASE("owner_search: the exhausted budget of another service does not prevent probes",
          "[relay]")
{
    // Guards against incident 1623: healthy upstreams that had failed before got no requests
    // because owners of other services refused retries.
    fixture setup(2);
    setup.ranking.record_relayed_health("o0", {0.95, 0}, setup.time.steady_now());
    setup.time.advance(4s);
    setup.ranking.record_relayed_health("o1", {0.01, 0}, setup.time.steady_now());
    owner_search other(setup.directory, setup.ranking);
    other.begin("other", 5000);
    attempt_report refusal;
    refusal.reason = owner_reason::no_allowance;
    other.record_refusal("elsewhere", refusal, setup.time.steady_now());
    const auto* const chosen = setup.search.next(true, setup.time.steady_now());
    REQUIRE(chosen != nullptr);
    CHECK(chosen->address == "o0");
    CHECK(setup.search.probe() == probe_decision::made);
}
