#include "base/manual_clock.h"
#include "load/slot_admission.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace galenaroad;
using namespace std::chrono_literals;

namespace {

slot_request waiting_request(std::uint64_t ticket, steady_time deadline, int priority = 1)
{
    slot_request request;
    request.ticket = ticket;
    request.priority = priority;
    request.deadline = deadline;
    request.may_wait = true;
    request.service_time = 100ms;
    return request;
}

/// @return an admission whose only slot is taken and whose requests take 100 ms.
slot_admission busy_admission(steady_time now)
{
    slot_admission slots;
    slots.resize(1);
    slots.record_service_time(100ms);
    CHECK(slots.admit(waiting_request(1, now + 10s), now) == slot_verdict::run);
    return slots;
}

} // namespace

TEST_CASE("slot_admission: no more requests run than there are slots", "[relay]")
{
    // Guards against an upstream that gets more concurrent requests than it has slots.
    const manual_clock time;
    const auto now = time.steady_now();
    slot_admission slots;
    slots.resize(3);
    for (std::uint64_t ticket = 1; ticket <= 10; ++ticket) {
        slots.admit(waiting_request(ticket, now + 10s), now);
    }
    CHECK(slots.running() == 3);
    CHECK(slots.waiting() == 7);
    CHECK_FALSE(slots.next().has_value());
    slots.release();
    CHECK(slots.next().has_value());
    CHECK(slots.running() == 3);
}

TEST_CASE("slot_admission: urgent requests and those with short deadlines come first", "[relay]")
{
    // Guards against calls between services that wait behind the requests that depend on them.
    const manual_clock time;
    const auto now = time.steady_now();
    auto slots = busy_admission(now);
    slots.admit(waiting_request(2, now + 4s, 2), now);
    slots.admit(waiting_request(3, now + 4s, 1), now);
    slots.admit(waiting_request(4, now + 1s, 1), now);
    slots.release();
    CHECK(slots.next() == 4U);
    slots.release();
    CHECK(slots.next() == 3U);
    slots.release();
    CHECK(slots.next() == 2U);
}

TEST_CASE("slot_admission: requests that cannot be in time are refused at once", "[relay]")
{
    // Guards against requests that wait until their deadline and are then refused.
    const manual_clock time;
    const auto now = time.steady_now();
    auto slots = busy_admission(now);
    int refused = 0;
    for (std::uint64_t ticket = 2; ticket <= 30; ++ticket) {
        refused +=
            slots.admit(waiting_request(ticket, now + 1s), now) == slot_verdict::refuse ? 1 : 0;
    }
    CHECK(refused > 15);
    CHECK(slots.waiting() >= 5);
}

TEST_CASE("slot_admission: requests that are overtaken and cannot be in time are removed",
          "[relay]")
{
    // Guards against an overload in which 369 requests waited for two seconds behind more urgent
    // ones and were then refused.
    const manual_clock time;
    const auto now = time.steady_now();
    auto slots = busy_admission(now);
    for (std::uint64_t ticket = 2; ticket <= 8; ++ticket) {
        REQUIRE(slots.admit(waiting_request(ticket, now + 1s, 2), now) == slot_verdict::wait);
    }
    CHECK(slots.take_unservable(now).empty());
    for (std::uint64_t ticket = 10; ticket <= 16; ++ticket) {
        slots.admit(waiting_request(ticket, now + 1s, 1), now);
    }
    const auto unservable = slots.take_unservable(now);
    CHECK(unservable.size() >= 4);
    CHECK(
        std::all_of(unservable.begin(), unservable.end(), [](auto ticket) { return ticket < 10; }));
}
