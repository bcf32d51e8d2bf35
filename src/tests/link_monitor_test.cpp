#include "health/link_monitor.h"

#include "base/manual_clock.h"

#include <catch2/catch.hpp>

using namespace galenaroad;
using namespace std::chrono_literals;

TEST_CASE("link_monitor: time-outs of several upstreams are attributed to the link", "[health]")
{
    // Guards against ejecting healthy upstreams that only this daemon cannot reach.
    manual_clock time;
    link_monitor links;
    const upstream_id first{"a", "orders"};
    const upstream_id second{"a", "manuals"};
    CHECK(links.record(first, link_event::timed_out, time.steady_now()) ==
          fault_attribution::upstream);
    CHECK(links.record(first, link_event::timed_out, time.steady_now()) ==
          fault_attribution::upstream);
    CHECK_FALSE(links.is_failed("a", time.steady_now()));
    CHECK(links.record(second, link_event::timed_out, time.steady_now()) ==
          fault_attribution::link);
    CHECK(links.is_failed("a", time.steady_now()));
    CHECK_FALSE(links.is_failed("b", time.steady_now()));
    links.record(first, link_event::responded, time.steady_now());
    CHECK_FALSE(links.is_failed("a", time.steady_now()));
}

TEST_CASE("link_monitor: a failed link is used again after a time", "[health]")
{
    // Guards against a link that stays failed because nothing is sent over it any more.
    manual_clock time;
    link_monitor links;
    CHECK(links.record({"a", "orders"}, link_event::connection_failed, time.steady_now()) ==
          fault_attribution::link);
    CHECK(links.is_failed("a", time.steady_now()));
    time.advance(link_monitor::failure_lifetime + 1ms);
    CHECK_FALSE(links.is_failed("a", time.steady_now()));
}

TEST_CASE("link_monitor: without responses there is no evidence about upstreams", "[health]")
{
    // Guards against ejecting an upstream because of attempts that a one-way network fault lost.
    manual_clock time;
    link_monitor links;
    links.record({"a", "orders"}, link_event::responded, time.steady_now());
    time.advance(10ms);
    const steady_time sent = time.steady_now();
    CHECK_FALSE(links.has_responded_since("a", sent));
    time.advance(10ms);
    links.record({"a", "manuals"}, link_event::responded, time.steady_now());
    CHECK(links.has_responded_since("a", sent));
}
