#include "settings/daemon_settings_loader.h"

#include <catch2/catch.hpp>

using namespace galenaroad;

namespace {

const std::string valid = R"(instance: ash-1-a
region: ash
data_centre: ash-1
addresses: {entry: 127.0.0.1:7001, peer: 127.0.0.1:7101, admin: 127.0.0.1:7201}
join_ranges: ["127.0.0.1:7101-7112"]
platform: {table_service: 127.0.0.1:7301, object_store: 127.0.0.1:7302}
telemetry: {spans_file: spans.jsonl, log_level: warning}
)";

} // namespace

TEST_CASE("daemon_settings_loader: reads every setting", "[settings]")
{
    // Guards against a setting that is accepted but never reaches the daemon.
    const auto settings = daemon_settings_loader::load_text("a.yaml", valid);
    REQUIRE(settings);
    CHECK(settings->instance == "ash-1-a");
    CHECK(settings->location == data_centre{"ash", "ash-1"});
    CHECK(settings->level == log_level::warning);
    REQUIRE(settings->join_ranges.size() == 1);
    CHECK(settings->join_ranges[0].size() == 12);
    CHECK(settings->join_ranges[0].at(11) == "127.0.0.1:7112");
}

TEST_CASE("daemon_settings_loader: reports all errors with their positions", "[settings]")
{
    // Guards against reporting only the first error, so that an operator would have to start the
    // daemon once per error.
    const auto settings = daemon_settings_loader::load_text("a.yaml", valid + R"(workers:
  entry_thread: 4
  peer_threads: many
regoin: ash
)");
    REQUIRE(!settings);
    const auto& errors = settings.error();
    REQUIRE(errors.size() == 3);
    CHECK(to_text(errors[0]) ==
          "a.yaml:9:3: unknown key \"entry_thread\"; did you mean \"entry_threads\"?");
    CHECK(to_text(errors[1]) == "a.yaml:10:17: \"peer_threads\" must be a whole number from 1 to "
                                "1024, found \"many\"");
    CHECK(to_text(errors[2]) == "a.yaml:11:1: unknown key \"regoin\"; did you mean \"region\"?");
}

TEST_CASE("daemon_settings_loader: refuses repeated keys and broken YAML", "[settings]")
{
    // Guards against a second value that silently replaces the first, and against a parser
    // exception that terminates the daemon without reporting a position.
    const auto repeated = daemon_settings_loader::load_text("a.yaml", valid + "region: gac\n");
    REQUIRE(!repeated);
    CHECK(to_text(repeated.error().at(0)) == "a.yaml:8:1: the key \"region\" occurs twice");
    const auto broken = daemon_settings_loader::load_text("a.yaml", "instance: [a\n");
    REQUIRE(!broken);
    CHECK(broken.error().at(0).line >= 1);
    CHECK(!daemon_settings_loader::load_text("a.yaml", ""));
    CHECK(!daemon_settings_loader::load_file("/nonexistent/a.yaml"));
}
