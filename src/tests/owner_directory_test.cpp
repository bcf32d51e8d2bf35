#include "fleet/owner_directory.h"
#include "fleet/owner_record_codec.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <random>

using namespace galenaroad;

namespace {

owner_record record(const std::string& address, std::uint64_t revision, announced_state state)
{
    owner_record made;
    made.address = address;
    made.data_centre = "ash-a";
    made.region = "ash";
    made.revision = revision;
    made.upstream_id = "i-" + address;
    made.service = "orders";
    made.state = state;
    made.start_time_ms = 17;
    made.sequence = 3;
    return made;
}

} // namespace

TEST_CASE("owner_directory: the order of records does not matter", "[fleet]")
{
    // Guards against directories that differ permanently because daemons received the same records
    // from the store and from peers in different orders.
    std::vector<owner_record> records;
    for (std::uint64_t revision = 1; revision <= 6; ++revision) {
        records.push_back(record("a", revision, announced_state::ready));
        records.push_back(record("b", revision, announced_state::draining));
    }
    owner_directory reference;
    for (const auto& each : records) {
        reference.merge(each);
    }
    std::mt19937_64 random(20261204);
    for (int round = 0; round < 50; ++round) {
        std::shuffle(records.begin(), records.end(), random);
        owner_directory shuffled;
        for (const auto& each : records) {
            shuffled.merge(each);
        }
        CHECK(shuffled.digest() == reference.digest());
    }
    CHECK(reference.ready_for("orders").size() == 1);
    reference.remove("a");
    CHECK(reference.ready_for("orders").empty());
    CHECK(reference.size() == 1);
}

TEST_CASE("owner_record_codec: records are decoded as encoded, and invalid ones are rejected",
          "[fleet]")
{
    // Guards against an invalid row of another writer that prevents a daemon from reading the
    // others.
    const auto original = record("10.0.0.1:80", 12, announced_state::left);
    const auto read = owner_record_codec::decode(owner_record_codec::encode(original));
    REQUIRE(read.has_value());
    CHECK(read->address == original.address);
    CHECK(read->state == announced_state::left);
    CHECK(read->revision == 12);
    CHECK(read->start_time_ms == 17);
    const auto broken = GENERATE(as<std::string>{}, "", "[]", "{}", "\xff\xfe", "{\"address\":7}",
                                 R"({"address":"a","state":"asleep"})");
    CHECK_FALSE(owner_record_codec::decode(broken).has_value());
    const auto list = '[' + owner_record_codec::encode(original) + ",{\"address\":1},5]";
    CHECK(owner_record_codec::decode_all(nlohmann::json::parse(list)).size() == 1);
}

TEST_CASE("owner_directory: a removed record is not stored again", "[fleet]")
{
    // Guards against owners that are gone and come back with an older copy of the store. A new
    // start at the same address has a later record.
    owner_directory directory;
    directory.merge(record("a", 5, announced_state::ready));
    directory.remove("a");
    CHECK_FALSE(directory.merge(record("a", 5, announced_state::ready)));
    CHECK_FALSE(directory.merge(record("a", 4, announced_state::ready)));
    CHECK(directory.find("a") == nullptr);
    CHECK(directory.merge(record("a", 6, announced_state::ready)));
    CHECK(directory.find("a") != nullptr);
}
