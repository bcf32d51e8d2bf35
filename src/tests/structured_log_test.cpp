#include "telemetry/structured_log.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace galenaroad;

TEST_CASE("structured_log: one JSON object a line, whatever the message holds", "[telemetry]")
{
    // Guards against a message with line breaks or bytes that are not UTF-8, which would split or
    // lose an entry.
    const log_entry entry{log_level::warning, "a\nb\xff\"", "r-1", "t-1", {{"peer", "p"}}};
    const auto line = structured_log::format(entry, system_time(std::chrono::milliseconds(1005)));
    CHECK(line.find('\n') == std::string::npos);
    const auto value = nlohmann::json::parse(line);
    CHECK(value["time"] == "1970-01-01T00:00:01.005Z");
    CHECK(value["level"] == "warning");
    CHECK(value["request_id"] == "r-1");
    CHECK(value["trace_id"] == "t-1");
    CHECK(value["peer"] == "p");
}
