#include "settings/sheet_reader.h"

#include <catch2/catch.hpp>

using namespace galenaroad;

namespace {

const std::string header = "date;business;service;floor_slots;policy;max_timeout_s\r\n";

std::string lines_of(const std::vector<source_error>& errors)
{
    std::string lines;
    for (const auto& error : errors) {
        lines += to_text(error) + '\n';
    }
    return lines;
}

std::string error_text(const std::string& text)
{
    const auto loaded = sheet_reader::load_text("s.csv", text);
    return loaded ? std::string() : lines_of(loaded.error());
}

sheet must_load(const std::string& text)
{
    const auto loaded = sheet_reader::load_text("s.csv", text);
    REQUIRE(loaded);
    return *loaded;
}

const std::string today = header + "2026-12-04;cista-pipa;Članice;12,0;careful;2,5\r\n"
                                   "2026-12-04;cista-pipa;orders;6;fast;2,5\r\n"
                                   "end;2\r\n";

} // namespace

TEST_CASE("sheet_reader: reads what spreadsheets export", "[settings]")
{
    // Guards against a sheet refused because of its byte-order mark, decimal commas, quoted line
    // breaks, non-ASCII letters or blank last lines, and against wrong positions after them.
    const auto loaded = must_load("\xef\xbb\xbf" + header +
                                  "2026-12-04;tetteh;\"bɛlt\nfinder\";12,0;fast;0,25\n"
                                  "2026-12-04;tetteh;orders;8;careful;2\n\nend;2\n\n");
    REQUIRE(loaded.rows.size() == 2);
    CHECK(loaded.rows[0].service == "bɛlt\nfinder");
    CHECK(loaded.rows[0].floor_slots == 12);
    CHECK(loaded.rows[0].max_timeout == std::chrono::milliseconds(250));
    CHECK(loaded.rows[1].line == 4);
    CHECK(loaded.end_line == 6);
    CHECK(loaded.rows[1].policy == detection_policy::careful);
}

TEST_CASE("sheet_reader: refuses the whole sheet and reports every error", "[settings]")
{
    // Guards against a partly applied sheet, and against reporting only the first error.
    CHECK(error_text(header + "2026-12-04;tetteh;Čx;-1;fats;1.5\n"
                              "2026-02-30;tetteh;Čx;8;fast;1\n"
                              "2026-12-04;cista;b\nend;4\nmore\n") ==
          R"(s.csv:2:22: "-1" is not a whole number of slots from 0 to 1000000
s.csv:2:25: "fats" is not a policy; did you mean "fast"?
s.csv:2:30: "1.5" is not a time from 0,001 to 3600 seconds with a decimal comma
s.csv:3:1: "2026-02-30" is not a date, as in 2026-12-04
s.csv:3:19: the service "Čx" already has a row, in line 2
s.csv:4:18: the row has 3 fields instead of 6
s.csv:5:5: the end row must be "end;3"; the file may be truncated or changed by hand
s.csv:6:1: there are rows after the end row
)");
    CHECK(error_text(header + "2026-12-04;tetteh;\xc4;1;fast;1\nend;1\n") ==
          "s.csv:2:19: the text is not UTF-8\n");
    CHECK(!error_text("").empty());
    CHECK(!error_text(header + "end;0\n").empty());
}

TEST_CASE("sheet_reader: refuses a file cut at any byte", "[settings]")
{
    // Guards against a truncated export that is accepted as a shorter sheet. Only the line break
    // after the end row may be missing.
    for (std::size_t size = 0; size < today.size() - 2; ++size) {
        INFO(size);
        CHECK(!error_text(today.substr(0, size)).empty());
    }
    CHECK(error_text(today.substr(0, today.size() - 2)).empty());
}
