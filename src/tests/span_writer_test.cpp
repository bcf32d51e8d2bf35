#include "telemetry/span_builder.h"
#include "telemetry/span_writer.h"

#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <unistd.h>

using namespace galenaroad;

namespace {

span example(random_engine& engine)
{
    return span_builder("dispatch", trace_context::start(engine), system_time{})
        .kind(span_kind::client)
        .attribute("http.target", "/finder\xff")
        .attribute("attempt", 2)
        .error("upstream_failed")
        .finish(system_time{} + std::chrono::milliseconds(3));
}

} // namespace

TEST_CASE("span_writer: each line is an OTLP/JSON object", "[telemetry]")
{
    // Guards against spans that collectors refuse, and against a writer that throws on a caller's
    // bytes that are not UTF-8.
    const auto path = "/tmp/gr_span_writer_" + std::to_string(::getpid()) + ".jsonl";
    random_engine engine(1);
    {
        span_writer writer(path, "galenaroadd", "ash-1-a");
        writer.write(example(engine));
        writer.flush();
        writer.write(example(engine));
        CHECK(writer.dropped() == 0);
    }
    std::ifstream input(path);
    std::string line;
    int lines = 0;
    for (; std::getline(input, line); ++lines) {
        const auto value = nlohmann::json::parse(line);
        const auto written = value["resourceSpans"][0]["scopeSpans"][0]["spans"][0];
        CHECK(written["traceId"].get<std::string>().size() == 32);
        CHECK(written["kind"] == 3);
        CHECK(written["endTimeUnixNano"] == "3000000");
        CHECK(written["attributes"][1]["value"]["intValue"] == "2");
        CHECK(written["status"]["code"] == 2);
    }
    CHECK(lines == 2);
    std::remove(path.c_str());
}

TEST_CASE("span_writer: drops and counts what does not fit", "[telemetry]")
{
    // Guards against a slow disk that makes the process grow without bound.
    random_engine engine(1);
    span_writer writer("/nonexistent/spans.jsonl", "galenaroadd", "a");
    writer.write(example(engine));
    writer.flush();
    CHECK(writer.dropped() == 1);
    span_writer full("/dev/null", "galenaroadd", "a", 0);
    full.write(example(engine));
    CHECK(full.dropped() == 1);
}
