#include "relay/acknowledgement_queue.h"

#include <catch2/catch.hpp>

using namespace galenaroad;

TEST_CASE("acknowledgement_queue: a departure is acknowledged once its record is stored", "[relay]")
{
    // Guards against a departure that is acknowledged before anything that outlives all daemons has
    // it, and against one that is acknowledged twice.
    acknowledgement_queue queue;
    int first = 0;
    int second = 0;
    queue.add(10, [&] { ++first; });
    queue.add(20, [&] { ++second; });
    queue.on_stored(9);
    CHECK(first + second == 0);
    CHECK_FALSE(queue.is_stored(10));
    queue.on_stored(10);
    queue.on_stored(11);
    CHECK(first == 1);
    CHECK(second == 0);
    queue.lower_revisions(15);
    queue.on_stored(15);
    CHECK(second == 1);
    CHECK(queue.size() == 0);
}

TEST_CASE("acknowledgement_queue: a departure whose record is stored is acknowledged at once",
          "[relay]")
{
    // Guards against an upstream that announces its departure again and gets no acknowledgement.
    acknowledgement_queue queue;
    int acknowledged = 0;
    queue.on_stored(10);
    queue.on_stored(9);
    queue.add(10, [&] { ++acknowledged; });
    CHECK(acknowledged == 1);
    queue.add(11, [&] { ++acknowledged; });
    CHECK(acknowledged == 1);
}

TEST_CASE("acknowledgement_queue: the number of waiting acknowledgements is limited", "[relay]")
{
    // Guards against memory that grows while upstreams announce their departures again and again
    // and the store does not respond.
    acknowledgement_queue queue;
    int acknowledged = 0;
    for (int count = 0; count < 1000; ++count) {
        queue.add(10, [&] { ++acknowledged; });
    }
    CHECK(queue.size() <= 64);
    queue.on_stored(10);
    CHECK(acknowledged > 0);
}
