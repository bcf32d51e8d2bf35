#include "relay/acknowledgement_queue.h"

#include "base/process_clock.h"

#include <catch2/catch.hpp>

using namespace galenaroad;
using namespace std::chrono_literals;

TEST_CASE("acknowledgement_queue: a departure is acknowledged once its record is stored", "[relay]")
{
    // Guards against a departure that is acknowledged before any other daemon can know of it, and
    // against one that is acknowledged twice.
    process_clock time;
    event_loop loop(time);
    acknowledgement_queue queue(loop);
    int first = 0;
    int second = 0;
    queue.add(10, [&] { ++first; });
    queue.add(20, [&] { ++second; });
    queue.on_stored(9);
    CHECK(first + second == 0);
    queue.on_stored(10);
    queue.on_stored(11);
    CHECK(first == 1);
    CHECK(second == 0);
    queue.lower_revisions(15);
    queue.on_stored(15);
    CHECK(second == 1);
    loop.after(1s, [&] { loop.stop(); });
    loop.run();
    CHECK(first + second == 2);
}

TEST_CASE("acknowledgement_queue: an acknowledgement does not wait for a silent store", "[relay]")
{
    // Guards against upstreams that cannot leave while the store does not respond, and against a
    // departure that is acknowledged while only this process knows it.
    process_clock time;
    event_loop loop(time);
    acknowledgement_queue queue(loop);
    int early = 0;
    int late = 0;
    queue.add(10, [&] { ++early; });
    queue.add(20, [&] { ++late; });
    queue.on_replicated(10);
    CHECK(early + late == 0);
    loop.after(1s, [&] { loop.stop(); });
    loop.run();
    CHECK(early == 1);
    CHECK(late == 0);
    CHECK(queue.is_confirmed(10));
    CHECK_FALSE(queue.is_confirmed(20));
    queue.on_replicated(20);
    CHECK(late == 1);
}
