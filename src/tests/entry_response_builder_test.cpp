#include "relay/entry_response_builder.h"

#include "fleet/relay_message_codec.h"

#include <catch2/catch.hpp>

using namespace galenaroad;
using namespace std::chrono_literals;

TEST_CASE(
    "entry_response_builder: forwards the upstream's response without messages between daemons",
    "[relay]")
{
    // Guards against an owner's report, or connection fields of another hop, that reach a client.
    http_response_head upstream;
    upstream.status = 200;
    upstream.keep_alive = false;
    upstream.fields = {{"X-Upstream-Stamp", "s"},
                       {attempt_report::header, "[1]"},
                       {"Connection", "X-Hop"},
                       {"X-Hop", "1"}};
    const auto head = entry_response_builder::forwarded(upstream);
    CHECK(head.keep_alive);
    REQUIRE(head.fields.size() == 1);
    CHECK(head.fields.front().name == "X-Upstream-Stamp");
}

TEST_CASE("entry_response_builder: a refusal states when to retry", "[relay]")
{
    // Guards against clients that retry immediately on an overloaded service.
    const header_names names;
    const auto head = entry_response_builder::not_run(names, "r", 1500ms);
    CHECK(head.status == 503);
    CHECK(http_head::find(head.fields, "Retry-After") == "1.50");
    CHECK(http_head::find(head.fields, names.request_id) == "r");
    const auto soon = entry_response_builder::not_run(names, "", 0ms);
    CHECK(http_head::find(soon.fields, "Retry-After") == "0.25");
    CHECK_FALSE(http_head::find(soon.fields, names.request_id).has_value());
}
