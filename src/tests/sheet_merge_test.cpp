#include "settings/contract_loader.h"
#include "settings/sheet_merge.h"
#include "settings/sheet_reader.h"

#include <catch2/catch.hpp>

using namespace galenaroad;

namespace {

const std::string today = "date;business;service;floor_slots;policy;max_timeout_s\r\n"
                          "2026-12-04;cista-pipa;Članice;12,0;careful;2,5\r\n"
                          "2026-12-04;cista-pipa;orders;6;fast;2,5\r\n"
                          "end;2\r\n";

sheet must_load(const std::string& text)
{
    const auto loaded = sheet_reader::load_text("s.csv", text);
    REQUIRE(loaded);
    return *loaded;
}

contract declaration()
{
    const auto loaded = contract_loader::load_text("t.yaml", R"(business: cista-pipa
services: [{name: Članice, floor_slots: 9}, {name: orders, floor_slots: 9}]
routes:
  - {prefix: /orders, service: orders, timeout_ms: 4000}
  - {prefix: /c, service: Članice, timeout_ms: 1000}
)");
    REQUIRE(loaded);
    return *loaded;
}

} // namespace

TEST_CASE("sheet_merge: applies a sheet once and never an older one", "[settings]")
{
    // Guards against an older sheet that reverts the floors of a newer one, and against a second
    // version for a sheet that is already in force.
    const auto first = sheet_merge::apply(declaration(), must_load(today));
    REQUIRE(first);
    CHECK(first->changed);
    CHECK(first->next.sheet_date == "2026-12-04");
    CHECK(first->next.services[0].floor_slots == 12);
    CHECK(first->next.routes[0].timeout == std::chrono::milliseconds(2500));
    CHECK(first->next.routes[1].timeout == std::chrono::milliseconds(1000));

    const auto again = sheet_merge::apply(first->next, must_load(today));
    REQUIRE(again);
    CHECK(!again->changed);

    auto yesterday = must_load(today);
    yesterday.date = "2026-12-03";
    CHECK(!sheet_merge::apply(first->next, yesterday));
    auto changed = must_load(today);
    changed.rows[0].floor_slots = 1;
    CHECK(!sheet_merge::apply(first->next, changed));
    changed.rows.pop_back();
    changed.date = "2026-12-05";
    const auto missing = sheet_merge::apply(first->next, changed);
    REQUIRE(!missing);
    CHECK(to_text(missing.error().at(0)) ==
          "s.csv:4:1: the sheet has no row for the service \"orders\"");
}

TEST_CASE("sheet_merge: a new declaration keeps the sheet in force", "[settings]")
{
    // Guards against a later declaration that reverts the floors of the sheet in force.
    const auto merged = sheet_merge::apply(declaration(), must_load(today));
    REQUIRE(merged);
    const auto next = sheet_merge::keep_sheet(merged->next, declaration());
    CHECK(next.sheet_date == "2026-12-04");
    CHECK(next.services[1].floor_slots == 6);
    CHECK(next.routes[0].timeout == std::chrono::milliseconds(2500));
}

TEST_CASE("sheet_merge: declaration and sheet together can raise a timeout", "[settings]")
{
    // Guards against a lowered timeout that no operator can raise while a sheet is in force.
    auto lowered = must_load(today);
    lowered.rows[1].max_timeout = std::chrono::milliseconds(500);
    const auto current = sheet_merge::apply(declaration(), lowered);
    REQUIRE(current);
    CHECK(current->next.routes[0].timeout == std::chrono::milliseconds(500));
    const auto raised = sheet_merge::apply(current->next, declaration(), must_load(today));
    REQUIRE(raised);
    CHECK(raised->changed);
    CHECK(raised->next.routes[0].timeout == std::chrono::milliseconds(2500));
}
