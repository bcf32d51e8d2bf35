#include "configuration/configuration_committer.h"

#include "base/error_kind.h"
#include "base/manual_clock.h"
#include "base/random_engine.h"
#include "configuration/configuration_reader.h"
#include "configuration/contract_json.h"
#include "platform/memory_object_store.h"
#include "platform/memory_table_service.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <rapidcheck.h>
#include <set>
#include <utility>

using namespace galenaroad;
using namespace std::chrono_literals;

namespace {

contract sample(int timeout_ms)
{
    contract value;
    value.business = "tetteh";
    value.services.push_back({"orders", 10, detection_policy::fast});
    value.routes.push_back({"/orders", {"POST"}, "orders"});
    value.routes.front().timeout = std::chrono::milliseconds(timeout_ms);
    return value;
}

bool is_write_call(const store_call& call)
{
    return is_write(call.operation);
}

/// Injected fault: a table service that ignores the expected tag, with another operator's write
/// just before the first update.
class unconditional_table_service : public memory_table_service {
public:
    result<std::string> update(const std::string& table, const std::string& key,
                               const std::string& value, const std::string&) override
    {
        if (const auto other = std::exchange(race, {})) {
            other();
        }
        const auto row = read(table, key);
        return memory_table_service::update(table, key, value, row->tag);
    }

    std::function<void()> race;
};

/// Lets three operators change a contract in random order, each based on the version that it saw
/// last. Returns the number of versions that were accepted from two of them, or -1 when an accepted
/// version is lost.
int count_shared_versions(memory_table_service& table, const store_faults& faults,
                          random_engine& engine)
{
    memory_object_store objects;
    configuration_committer committer(table, objects);
    table.inject(faults);
    std::vector<contract> bases(3, sample(0));
    std::set<std::uint64_t> accepted;
    int shared = 0;
    for (int i = 0; i < 30; ++i) {
        auto& base = bases[engine() % bases.size()];
        const auto outcome = committer.commit(base, sample(i), "w" + std::to_string(i));
        if (outcome && outcome->accepted && !accepted.insert(outcome->current.version).second) {
            ++shared;
        }
        if (outcome) {
            base = outcome->current;
        }
    }
    table.inject({});
    const auto last = committer.read("tetteh");
    return last && (accepted.empty() || last->version >= *accepted.rbegin()) ? shared : -1;
}

} // namespace

TEST_CASE("configuration_committer: a rejected commit reports what changed", "[configuration]")
{
    // Guards against a silent overwrite by the slower of two racing operators.
    memory_table_service table;
    memory_object_store objects;
    configuration_committer committer(table, objects);
    const auto first = committer.commit(sample(0), sample(2000), "a");
    REQUIRE((first && first->accepted));
    REQUIRE(committer.commit(first->current, sample(3000), "b")->accepted);
    const auto lost = committer.commit(first->current, sample(4000), "c");
    REQUIRE(lost);
    CHECK_FALSE(lost->accepted);
    CHECK(lost->current.writer == "b");
    CHECK(lost->changes ==
          std::vector<std::string>{"routes[/orders POST].timeout_ms: 2000 -> 3000"});
    CHECK(committer.read("tetteh")->version == 2);
}

TEST_CASE("configuration_committer: a lost response is recognised", "[configuration]")
{
    // Guards against a write that was applied but is reported as rejected, and against writing it
    // twice.
    memory_table_service table({{}, is_write_call, {}});
    memory_object_store objects;
    configuration_committer committer(table, objects);
    const auto first = committer.commit(sample(0), sample(2000), "a");
    REQUIRE((first && first->accepted));
    CHECK(committer.read("tetteh")->version == 1);
    table.inject({});
    REQUIRE(committer.commit(first->current, sample(3000), "b")->accepted);
    // The writer of version 1 retries after version 2 has followed.
    CHECK(committer.commit(sample(0), sample(2000), "a")->accepted);
    CHECK(committer.read("tetteh")->version == 2);
}

TEST_CASE("configuration_committer: an outage writes nothing", "[configuration]")
{
    // Guards against `outcome_unknown` when the store rejected the write before applying it, and
    // against `store_unavailable` when the write may have been applied.
    memory_table_service table({is_write_call, {}, {}});
    memory_object_store objects;
    configuration_committer committer(table, objects);
    const auto refused = committer.commit(sample(0), sample(1), "a");
    CHECK(refused.error() == error_kind::store_unavailable);
    bool written = false;
    store_faults faults;
    faults.lose_response = [&](const store_call& call) {
        written = written || is_write_call(call);
        return is_write_call(call);
    };
    faults.fail_before_effect = [&](const store_call&) { return written; };
    table.inject(faults);
    const auto unknown = committer.commit(sample(0), sample(1), "a");
    CHECK(unknown.error() == error_kind::outcome_unknown);
    table.inject({});
    CHECK(committer.commit(sample(0), sample(1), "a")->accepted);
    CHECK(committer.read("tetteh")->version == 1);
}

TEST_CASE("configuration_committer: racing operators never share a version", "[configuration]")
{
    // Guards against two accepted contracts with the same version after lost responses and outages.
    CHECK(rc::check("each accepted version has one writer, and none is lost", [] {
        random_engine engine(*rc::gen::arbitrary<std::uint64_t>());
        memory_table_service table;
        store_faults faults;
        faults.fail_before_effect = [&](const store_call&) { return engine() % 5 == 0; };
        faults.lose_response = [&](const store_call&) { return engine() % 5 == 0; };
        RC_ASSERT(count_shared_versions(table, faults, engine) == 0);
    }));
}

TEST_CASE("configuration_committer: the race check detects a table that ignores tags",
          "[configuration]")
{
    // Shows that counting accepted writers detects an injected fault: compare-and-set without the
    // comparison.
    unconditional_table_service table;
    memory_object_store objects;
    configuration_committer committer(table, objects);
    const auto first = committer.commit(sample(0), sample(1), "a");
    REQUIRE((first && first->accepted));
    int accepted = 0;
    table.race = [&] {
        accepted += committer.commit(first->current, sample(2), "b")->accepted ? 1 : 0;
    };
    accepted += committer.commit(first->current, sample(3), "c")->accepted ? 1 : 0;
    CHECK(accepted == 2);
}

TEST_CASE("configuration_reader: large bodies come from the object store", "[configuration]")
{
    // Guards against rows above 64 KiB, and against readers that do not load a body from the object
    // store.
    memory_table_service table;
    memory_object_store objects;
    configuration_committer committer(table, objects);
    auto large = sample(1);
    for (int i = 0; i < 1000; ++i) {
        large.routes.push_back({"/route-" + std::to_string(i), {"GET"}, "orders"});
    }
    REQUIRE(committer.commit(sample(0), large, "a")->accepted);
    CHECK(table.read("contracts", "tetteh")->value.size() < 1024);
    manual_clock time;
    configuration_reader reader(table, objects, time);
    const auto newer = reader.read({});
    REQUIRE((newer && newer->size() == 1));
    large.version = 1;
    large.writer = "a";
    CHECK(to_json(newer->front()) == to_json(large));
    CHECK(reader.read({{"tetteh", 1}})->empty());
}

TEST_CASE("configuration_reader: two live daemons of each region read", "[configuration]")
{
    // Guards against a read rate that grows with the fleet, and against a region without readers.
    std::vector<std::string> names;
    for (int i = 0; i < 300; ++i) {
        names.push_back("daemon-" + std::to_string(i));
    }
    std::vector<reader_candidate> live;
    for (std::size_t i = 0; i < names.size(); ++i) {
        live.push_back({names[i], i % 3 == 0 ? "ash" : "gac"});
    }
    const auto chosen = configuration_reader::readers(live, "ash");
    REQUIRE(chosen.size() == 2);
    const auto is_removed = [&](const reader_candidate& each) { return each.name == chosen[0]; };
    live.erase(std::remove_if(live.begin(), live.end(), is_removed), live.end());
    const auto after = configuration_reader::readers(live, "ash");
    CHECK(after.size() == 2);
    CHECK(after[0] == chosen[1]);
}
