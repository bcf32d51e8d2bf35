#include "admission/slot_queue.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>
#include <set>

using namespace galenaroad;
using namespace std::chrono_literals;

namespace {

const steady_time start(std::chrono::hours(24));

admission_request request(std::uint64_t ticket, int depth = 0,
                          request_class work = request_class::read, std::string caller = "a")
{
    return {ticket, std::move(caller), work, depth, start + 10s};
}

} // namespace

TEST_CASE("slot_queue: slots are never exceeded and each request ends once", "[admission]")
{
    // Guards against more requests than a backend server has slots, and against requests that are
    // lost in the queue or both admitted and displaced.
    rc::prop("random operations", [] {
        const int slots = *rc::gen::inRange(1, 9);
        slot_queue queue(slots);
        std::set<std::uint64_t> running;
        std::set<std::uint64_t> waiting;
        std::uint64_t next = 1;
        auto now = start;
        const auto operations = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 60));
        for (const int operation : operations) {
            now += 1ms;
            if (operation < 30) {
                const auto depth = operation % 4;
                const auto work = static_cast<request_class>(operation % 3);
                const auto decision = queue.offer(request(next, depth, work), now);
                if (decision.state == admission_state::admitted) {
                    running.insert(next);
                }
                if (decision.state == admission_state::queued) {
                    RC_ASSERT(decision.wait_until - now <= 50ms);
                    waiting.insert(next);
                }
                ++next;
            }
            else if (operation < 50 && !running.empty()) {
                running.erase(running.begin());
                for (const auto ticket : queue.finish(now - 5ms, now)) {
                    RC_ASSERT(waiting.erase(ticket) == 1U);
                    running.insert(ticket);
                }
            }
            else if (operation < 55 && !waiting.empty()) {
                RC_ASSERT(queue.cancel(*waiting.begin()));
                waiting.erase(waiting.begin());
            }
            else {
                queue.on_shed(now);
            }
            for (const auto ticket : queue.take_displaced()) {
                RC_ASSERT(waiting.erase(ticket) == 1U);
            }
            RC_ASSERT(queue.in_use() == static_cast<int>(running.size()));
            RC_ASSERT(queue.queued() == static_cast<int>(waiting.size()));
            RC_ASSERT(queue.in_use() <= slots);
            RC_ASSERT(queue.queued() <= 2 * slots);
        }
    });
}

TEST_CASE("slot_queue: nested calls are admitted first and displace other requests", "[admission]")
{
    // Guards against a deadlock in which nested calls wait behind requests that depend on them.
    slot_queue queue(1);
    CHECK(queue.offer(request(1), start).state == admission_state::admitted);
    CHECK(queue.offer(request(2), start).state == admission_state::queued);
    CHECK(queue.offer(request(3), start).state == admission_state::queued);
    CHECK(queue.offer(request(4), start).reason == error_kind::upstream_busy);
    CHECK(queue.offer(request(5, 2), start).state == admission_state::queued);
    CHECK(queue.take_displaced().size() == 1);
    CHECK(queue.finish(start, start + 25ms) == std::vector<std::uint64_t>{5});
}

TEST_CASE("slot_queue: admission is fair between callers", "[admission]")
{
    // Guards against a busy client account that delays all other accounts of the service.
    slot_queue queue(1);
    queue.offer(request(1, 0, request_class::read, "busy"), start);
    queue.offer(request(2, 0, request_class::read, "busy"), start);
    queue.offer(request(3, 0, request_class::read, "quiet"), start);
    CHECK(queue.finish(start, start + 1ms) == std::vector<std::uint64_t>{3});
}

TEST_CASE("slot_queue: the limit recovers after the upstream shed requests", "[admission]")
{
    // Guards against capacity that stays lost after a short overload.
    slot_queue queue(3);
    queue.on_shed(start);
    queue.on_shed(start);
    queue.on_shed(start);
    CHECK(queue.limit(start) == 1);
    CHECK(queue.limit(start + 2s) == 3);
}
