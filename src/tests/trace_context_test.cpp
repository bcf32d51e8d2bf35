#include "telemetry/trace_context.h"

#include <catch2/catch.hpp>

using namespace galenaroad;

TEST_CASE("trace_context: a child keeps the trace and names its parent", "[telemetry]")
{
    // Guards against a nested call that falls out of its caller's trace.
    random_engine engine(7);
    const std::string header = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
    const auto caller = trace_context::parse(header);
    REQUIRE(caller);
    CHECK(caller->header() == header);
    const auto child = caller->child(engine);
    CHECK(child.trace_id() == caller->trace_id());
    CHECK(child.parent_span_id() == caller->span_id());
    CHECK(child.span_id() != caller->span_id());
    CHECK(trace_context::parse(child.header()));
}

TEST_CASE("trace_context: a malformed header starts a new trace", "[telemetry]")
{
    // Guards against a caller's malformed header that is copied into spans.
    random_engine engine(7);
    for (const std::string header : {"", "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7",
                                     "ff-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
                                     "00-00000000000000000000000000000000-00f067aa0ba902b7-01",
                                     "00-4BF92F3577B34DA6A3CE929D0E0E4736-00f067aa0ba902b7-01",
                                     "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01-x"}) {
        CHECK(!trace_context::parse(header));
        CHECK(trace_context::continue_from(header, engine).parent_span_id().empty());
    }
    CHECK(trace_context::parse("01-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01-x"));
}
