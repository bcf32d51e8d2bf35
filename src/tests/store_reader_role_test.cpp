#include "relay/store_reader_role.h"

#include "base/manual_clock.h"
#include "fleet/store_reader_order.h"

#include <catch2/catch.hpp>
#include <set>

using namespace galenaroad;
using namespace std::chrono_literals;

namespace {

/// Updates the role four times a second, as a daemon does.
bool update_for(manual_clock& time, store_reader_role& role, std::chrono::milliseconds length,
                const preceding_daemons& view)
{
    constexpr auto step = 250ms;
    for (auto passed = 0ms; passed < length; passed += step) {
        role.update(view);
        time.advance(step);
    }
    return role.update(view);
}

} // namespace

TEST_CASE("store_reader_role: the first daemons read at once, the others follow them", "[relay]")
{
    // Guards against a data centre without store readers, and against one where all daemons read.
    manual_clock time;
    store_reader_role first(time);
    CHECK(first.update({0, 0, 0}));
    store_reader_role second(time);
    CHECK(second.update({1, 1, 1}));
    store_reader_role third(time);
    CHECK_FALSE(third.update({2, 2, 2}));
    CHECK_FALSE(update_for(time, third, 60s, {2, 2, 2}));
}

TEST_CASE("store_reader_role: the next daemons take over one after another", "[relay]")
{
    // Guards against hundreds of daemons that list the store when the readers have failed.
    manual_clock time;
    constexpr std::size_t daemons = 40;
    std::vector<store_reader_role> roles(daemons, store_reader_role(time));
    std::size_t readers = 0;
    for (int step = 0; step < 40; ++step) {
        // The first two have failed; other daemons see in the next step that one has taken over.
        const auto fresh = std::min(readers, store_reader_role::readers_per_data_centre);
        readers = 0;
        for (std::size_t place = 2; place < daemons; ++place) {
            readers += roles[place].update({place, fresh, fresh}) ? 1 : 0;
        }
        time.advance(250ms);
    }
    CHECK(readers >= 1);
    CHECK(readers <= 6);
}

TEST_CASE("store_reader_role: an outage of the store does not make all daemons read", "[relay]")
{
    // Guards against hundreds of daemons that call a store which does not respond.
    manual_clock time;
    store_reader_role third(time);
    CHECK(update_for(time, third, 2s, {2, 0, 2}));
    store_reader_role last(time);
    CHECK_FALSE(update_for(time, last, 10s, {39, 0, 2}));
    // The same holds when the readers have just lost the store.
    store_reader_role third_after_loss(time);
    CHECK(update_for(time, third_after_loss, 250ms, {2, 0, 2, 2}));
    store_reader_role last_after_loss(time);
    CHECK_FALSE(update_for(time, last_after_loss, 10s, {39, 0, 2, 2}));
    // When no preceding daemon responds at all, the delay is short.
    store_reader_role alone(time);
    CHECK(update_for(time, alone, 4s, {39, 0, 0}));
}

TEST_CASE("store_reader_role: the take-over hardly depends on the size of the data centre",
          "[relay]")
{
    // Guards against large data centres whose next reader takes over seconds after a loss.
    manual_clock time;
    store_reader_role last_of_many(time);
    CHECK(update_for(time, last_of_many, 1500ms, {200, 0, 0}));
    // Daemons that are known to be unreachable are not waited for.
    store_reader_role first_reachable(time);
    CHECK(update_for(time, first_reachable, 250ms, {9, 0, 0, 0, 9}));
}

TEST_CASE("store_reader_role: a daemon that took over continues to read for a while", "[relay]")
{
    // Guards against a listing of the store for each reader that fails and returns.
    manual_clock time;
    store_reader_role role(time);
    REQUIRE(update_for(time, role, 3s, {2, 0, 0}));
    CHECK(update_for(time, role, 2s, {2, 2, 2}));
    CHECK_FALSE(update_for(time, role, 6s, {2, 2, 2}));
}

TEST_CASE("store_reader_role: readers that are not needed stop although others do as well",
          "[relay]")
{
    // Guards against daemons that continue to read because a followed one has stopped reading, and
    // against readers that stop one by one, each hold_time after the previous one.
    manual_clock time;
    store_reader_role role(time);
    REQUIRE(update_for(time, role, 3s, {2, 0, 0}));
    CHECK(update_for(time, role, 4500ms, {4, 2, 2}));
    CHECK(update_for(time, role, 750ms, {4, 1, 2}));
    CHECK_FALSE(update_for(time, role, 1s, {4, 2, 2}));
}

TEST_CASE("store_reader_order: all daemons compute the same order", "[relay]")
{
    // Guards against daemons that each expect another one to read the store.
    owner_directory directory;
    owner_directory reversed;
    std::vector<owner_record> records;
    for (int each = 0; each < 50; ++each) {
        owner_record record;
        record.address = "10.0.0." + std::to_string(each) + ":80";
        record.data_centre = each % 2 == 0 ? "a" : "b";
        record.state = each < 40 ? announced_state::ready : announced_state::left;
        record.revision = 1;
        records.push_back(record);
    }
    std::for_each(records.begin(), records.end(), [&](const auto& each) { directory.merge(each); });
    std::for_each(records.rbegin(), records.rend(),
                  [&](const auto& each) { reversed.merge(each); });
    const auto order = store_reader_order::daemons(directory, "a");
    CHECK(order.size() == 20);
    CHECK(order == store_reader_order::daemons(reversed, "a"));
    CHECK(store_reader_order::is_before(order[0], order[1]));
}
