#include "base/error_kind.h"
#include "base/process_clock.h"
#include "platform/http_object_store.h"
#include "platform/http_table_service.h"
#include "standins/standin_object_store_handler.h"
#include "standins/standin_store_server.h"
#include "standins/standin_table_service_handler.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace galenaroad;
using namespace std::chrono_literals;

namespace {

struct table_fixture {
    process_clock time;
    standin_store_faults faults;
    memory_table_service rows{faults.hooks()};
    standin_table_service_handler handler{rows};
    standin_store_server server{"127.0.0.1:0", faults, [this](auto& request, auto& response) {
                                    handler.handle(request, response);
                                }};
    http_table_service tables{{"127.0.0.1", server.port(), 500ms, 100ms}, time};
};

} // namespace

TEST_CASE("http_table_service: conditional requests apply or conflict", "[platform]")
{
    // Guards against a lost precondition, which would let two writers both succeed.
    table_fixture f;
    const std::string key = "cista-pipa/a key/../with?special#Č\"signs";
    CHECK(f.tables.read("actions", key)->tag.empty());
    const auto tag = f.tables.insert("actions", key, R"({"n":1})");
    REQUIRE(tag);
    CHECK(kind_of(f.tables.insert("actions", key, "{}").error()) == error_kind::version_conflict);
    CHECK(f.tables.read("actions", key)->value == R"({"n":1})");
    const auto next = f.tables.update("actions", key, R"({"n":2})", *tag);
    REQUIRE(next);
    CHECK(kind_of(f.tables.update("actions", key, "{}", *tag).error()) ==
          error_kind::version_conflict);
    const auto rows = f.tables.list("actions", "cista-pipa/", 10);
    REQUIRE(rows->size() == 1);
    CHECK(rows->front().key == key);
    CHECK(rows->front().tag == *next);
    CHECK(kind_of(f.tables.remove("actions", key, *tag)) == error_kind::version_conflict);
    CHECK(!f.tables.remove("actions", key, *next));
    CHECK(f.faults.counters()["reads"] == 3);
}

TEST_CASE("http_table_service: failures tell whether a write may have taken effect", "[platform]")
{
    // Guards against a lost response that is reported as "no effect".
    table_fixture f;
    f.faults.apply({{"unavailable", true}});
    CHECK(kind_of(f.tables.insert("t", "a", "{}").error()) == error_kind::store_unavailable);
    f.faults.apply({{"unavailable", false}, {"lost_responses", 1.0}});
    CHECK(kind_of(f.tables.insert("t", "a", "{}").error()) == error_kind::outcome_unknown);
    f.faults.apply({{"lost_responses", 0.0}});
    CHECK(!f.tables.read("t", "a")->tag.empty());
    f.faults.apply({{"latency_ms", 300}});
    CHECK(kind_of(f.tables.insert("t", "b", "{}").error()) == error_kind::outcome_unknown);
    CHECK(kind_of(f.tables.read("t", "b").error()) == error_kind::store_unavailable);
    f.faults.apply({{"latency_ms", 0}});
    std::this_thread::sleep_for(400ms);
    CHECK(!f.tables.read("t", "b")->tag.empty());
}

TEST_CASE("http_table_service: refused connection is reported as no effect", "[platform]")
{
    // Guards against claims that stay undecided although nothing was sent.
    const process_clock time;
    std::uint16_t port = 0;
    {
        const table_fixture closed;
        port = closed.server.port();
    }
    http_table_service tables({"127.0.0.1", port, 500ms, 100ms}, time);
    CHECK(kind_of(tables.insert("t", "a", "{}").error()) == error_kind::store_unavailable);
}

TEST_CASE("http_object_store: objects are stored byte by byte", "[platform]")
{
    // Guards against text handling of recorded responses that are not text.
    const process_clock time;
    standin_store_faults faults;
    memory_object_store objects(faults.hooks());
    standin_object_store_handler handler(objects);
    const standin_store_server server("127.0.0.1:0", faults, [&](auto& request, auto& response) {
        handler.handle(request, response);
    });
    http_object_store store({"127.0.0.1", server.port(), 500ms, 1000ms}, time);
    std::string bytes(300000, '\0');
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        bytes[i] = static_cast<char>(i * 7);
    }
    CHECK(store.read("b", "k/1").error() == std::errc::no_such_file_or_directory);
    REQUIRE(!store.write("b", "k/1", bytes));
    CHECK(*store.read("b", "k/1") == bytes);
    faults.apply({{"lost_responses", 1.0}});
    CHECK(kind_of(store.remove("b", "k/1")) == error_kind::outcome_unknown);
}
