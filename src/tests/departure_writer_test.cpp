#include "departure_writer.h"

#include "fleet/owner_record_codec.h"
#include "store_requests.h"
#include "support/store_test_fleet.h"

#include <catch2/catch.hpp>

using namespace galenaroad;
using namespace std::chrono_literals;

namespace {

constexpr const char* table = "owners";
constexpr const char* owner = "127.0.0.1:7000";

/// Writes departures of one owner to a stand-in for the store.
struct writer_test {
    process_clock time;
    event_loop loop{time};
    decision_log log{time};
    std::string address = free_address();
    soak_store store{loop, address, std::mt19937_64(1)};
    metrics_registry metrics;
    relay_metrics counters{metrics};
    store_era_monitor eras{time, log, counters};
    http_client client{loop};
    departure_writer writer{loop, client, eras, address, table};

    writer_test() { structured_log::configure("test", "", log_level::error); }

    static owner_record record(std::uint64_t revision, announced_state state)
    {
        owner_record made;
        made.address = owner;
        made.data_centre = "dc";
        made.region = "region";
        made.revision = revision;
        made.upstream_id = "u";
        made.service = "s";
        made.state = state;
        made.start_time_ms = 5;
        made.sequence = 1;
        return made;
    }

    void store_record(const owner_record& written)
    {
        const auto body = store_rows_codec::encode_replacement(table, "dc", owner,
                                                               owner_record_codec::encode(written),
                                                               store.version_of(table, owner));
        client_hooks hooks;
        hooks.head = [](const auto& head) { REQUIRE(head.status == 200); };
        hooks.body = [](std::string_view) {};
        hooks.complete = [this] { loop.stop(); };
        hooks.failed = [this](exchange_error) { loop.stop(); };
        const auto call = client.send(address, store_requests::write(address, body), hooks);
        loop.run();
    }

    /// @return whether the writer says that the store has the departure.
    bool write(const owner_record& departure)
    {
        int ends = 0;
        bool result = false;
        writer.write(departure, [&](bool is_stored) {
            ++ends;
            result = is_stored;
            loop.stop();
        });
        loop.run();
        CHECK(ends == 1);
        return result;
    }

    std::optional<owner_record> stored() const
    {
        return owner_record_codec::decode(store.value_of(table, owner));
    }
};

} // namespace

TEST_CASE("departure_writer: a departure replaces an earlier record or none", "[platform]")
{
    // Guards against departures that are acknowledged or not by whether the owner had a row.
    writer_test test;
    if (GENERATE(true, false)) {
        test.store_record(writer_test::record(3, announced_state::ready));
    }
    const auto departure = writer_test::record(4, announced_state::left);
    CHECK(test.write(departure));
    REQUIRE(test.stored().has_value());
    CHECK(test.stored()->revision == 4);
    CHECK(test.stored()->state == announced_state::left);
    const int writes = test.store.writes;
    CHECK(test.write(departure));
    CHECK(test.store.writes == writes);
}

TEST_CASE("departure_writer: a later record of the owner stays", "[platform]")
{
    // Guards against a new upstream that gets no requests, because a peer wrote the departure of
    // the one before it afterwards.
    writer_test test;
    auto later = writer_test::record(5, announced_state::ready);
    SECTION("by its revision") {}
    SECTION("by the start of its upstream")
    {
        later.revision = 3;
        later.start_time_ms = 9;
    }
    test.store_record(later);
    CHECK_FALSE(test.write(writer_test::record(4, announced_state::left)));
    REQUIRE(test.stored().has_value());
    CHECK(test.stored()->revision == later.revision);
    CHECK(test.stored()->state == announced_state::ready);
}

TEST_CASE("departure_writer: a departure that the store does not confirm is not stored",
          "[platform]")
{
    // Guards against an acknowledgement for a departure that the store may lack, and against a peer
    // that waits without end.
    writer_test test;
    test.store_record(writer_test::record(3, announced_state::ready));
    SECTION("refused")
    {
        test.store.set_fault(soak_store::fault::refuses);
        CHECK_FALSE(test.write(writer_test::record(4, announced_state::left)));
    }
    SECTION("no response")
    {
        test.store.silence_table(table);
        CHECK_FALSE(test.write(writer_test::record(4, announced_state::left)));
    }
    SECTION("the write comes late")
    {
        test.store.delay_next_write();
        CHECK_FALSE(test.write(writer_test::record(4, announced_state::left)));
        test.store_record(writer_test::record(5, announced_state::ready));
        test.store.perform_late_write();
        REQUIRE(test.stored().has_value());
        CHECK(test.stored()->revision == 5);
    }
}

TEST_CASE("departure_writer: a departure that another peer has written is stored", "[platform]")
{
    // Guards against a departure that is not acknowledged, because two peers wrote it at the same
    // time.
    writer_test test;
    test.store_record(writer_test::record(3, announced_state::ready));
    departure_writer other(test.loop, test.client, test.eras, test.address, table);
    const auto departure = writer_test::record(4, announced_state::left);
    int stored = 0;
    const auto count = [&](bool is_stored) {
        stored += is_stored ? 1 : 0;
        if (stored == 2) {
            test.loop.stop();
        }
    };
    test.writer.write(departure, count);
    other.write(departure, count);
    test.loop.after(3s, [&] { test.loop.stop(); });
    test.loop.run();
    CHECK(stored == 2);
}

TEST_CASE("departure_writer: a second departure of the owner waits for its next request",
          "[platform]")
{
    // Guards against calls to the store without limit, by requests of peers that come in quick
    // succession.
    writer_test test;
    const auto departure = writer_test::record(4, announced_state::left);
    int stored = 0;
    int failed = 0;
    for (int count = 0; count < 5; ++count) {
        test.writer.write(departure, [&](bool is_stored) {
            ++(is_stored ? stored : failed);
            if (is_stored) {
                test.loop.stop();
            }
        });
    }
    test.loop.run();
    CHECK(stored == 1);
    CHECK(failed == 4);
}
