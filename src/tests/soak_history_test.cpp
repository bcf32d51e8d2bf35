#include "soak/soak_history.h"

#include "base/manual_clock.h"

#include <catch2/catch.hpp>

using namespace galenaroad;
using namespace std::chrono_literals;

namespace {

/// A history of one order that was served; tests plant faults into it.
struct fixture {
    manual_clock time;
    steady_time start = time.steady_now();
    soak_history history;

    fixture()
    {
        soak_request request;
        request.id = "q";
        request.daemon = "d";
        request.is_new_route = true;
        request.version = 2;
        request.sent = start;
        request.ended = start + 100ms;
        request.deadline = 1500ms;
        request.status = 200;
        request.has_ended = true;
        history.requests.push_back(request);
        history.runs.push_back({"q", "i", "e", start + 50ms, true, true, start + 90ms});
        history.plans[2] = start - 10s;
    }

    soak_request& request() { return history.requests.front(); }

    bool finds(const std::string& promise) const
    {
        const auto found = history.violations();
        return found.size() == 1 && found.front().rfind(promise, 0) == 0;
    }
};

} // namespace

TEST_CASE("soak_history: each planted fault is found", "[soak]")
{
    // Guards against a soak that passes because it sees nothing.
    fixture at;
    REQUIRE(at.history.violations().empty());
    SECTION("an order runs twice")
    {
        at.history.runs.push_back({"q", "j", "f", at.start + 60ms, true, true, at.start + 90ms});
        CHECK(at.finds("TWICE"));
    }
    SECTION("a daemon goes back to an earlier plan")
    {
        auto later = at.request();
        later.id = "r";
        later.sent = at.start + 1s;
        later.ended = at.start + 1100ms;
        later.status = 404;
        at.history.requests.push_back(later);
        at.history.disturbances.push_back({"store", at.start, at.start + 1s});
        CHECK(at.finds("BACK"));
        at.history.disturbances.push_back({"d", at.start + 500ms, at.start + 600ms});
        CHECK(at.history.violations().empty());
    }
    SECTION("a row is not back after a restore of the store")
    {
        at.history.rows.push_back({"d", at.start, at.start + 2s, false});
        CHECK(at.finds("ROW"));
        at.history.disturbances.push_back({"d/store", at.start - 1s, at.start});
        CHECK(at.history.violations().empty());
    }
    SECTION("an order is refused and has run")
    {
        at.request().status = 503;
        CHECK(at.finds("REFUSED"));
    }
    SECTION("an answer belongs to another request")
    {
        at.request().is_own_answer = false;
        CHECK(at.finds("MIXED"));
    }
    SECTION("an answer comes too late")
    {
        at.request().ended = at.start + 2100ms;
        CHECK(at.finds("LATE"));
    }
    SECTION("an answer never comes")
    {
        at.request().has_ended = false;
        at.request().status = 0;
        CHECK(at.finds("LATE"));
    }
    SECTION("an upstream that has left gets work")
    {
        at.history.departures["i"] = at.start - 2s;
        CHECK(at.finds("DRAIN"));
    }
    SECTION("a route of a stored plan is unknown")
    {
        at.request().status = 404;
        at.history.runs.clear();
        CHECK(at.finds("CONFIG"));
    }
    SECTION("the answer of an order is lost between daemons")
    {
        at.request().deadline = 4s;
        at.request().status = 502;
        CHECK(at.finds("KEPT"));
        const auto excuse = GENERATE(as<std::string>{}, "e", "e/upstream", "e/peers");
        at.history.disturbances.push_back({excuse, at.start + 20ms, at.start + 60ms, false});
        CHECK(at.history.violations().empty());
    }
    SECTION("a planned stop cuts a request")
    {
        at.request().status = 0;
        at.history.disturbances.push_back({"d", at.start + 10ms, at.start + 5s, true});
        CHECK(at.finds("LOST"));
    }
}

TEST_CASE("soak_history: what a fault explains is no broken promise", "[soak]")
{
    // Guards against findings that are the injected fault itself.
    fixture at;
    at.request().status = 0;
    at.request().ended = at.start + 2100ms;
    at.history.disturbances.push_back({"d", at.start + 10ms, at.start + 1s, false});
    CHECK(at.history.violations().empty());
    at.request().status = 404;
    at.request().ended = at.start + 50ms;
    at.history.runs.clear();
    at.history.disturbances.front() = {"store", at.start - 1s, at.start - 500ms, false};
    CHECK(at.history.violations().empty());
}
