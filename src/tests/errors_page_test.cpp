#include "base/error_kind.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

using namespace galenaroad;

namespace {

std::string expected_row(const error_answer& answer)
{
    const auto retry = answer.retry_after.count() == 0
                           ? std::string("-")
                           : std::to_string(answer.retry_after.count()) + " ms";
    std::ostringstream row;
    row << "| `" << answer.name << "` | " << answer.http_status << " | `"
        << run_state_name(answer.run) << "` | " << retry << " | " << answer.exit_code << " | "
        << answer.title << " | ";
    return row.str();
}

} // namespace

TEST_CASE("errors page: matches the error table", "[base]")
{
    // Guards against an operators' page that promises another answer than the program gives.
    std::ifstream input(GALENAROAD_SOURCE_DIR "/docs/operators/errors.md");
    std::stringstream page;
    page << input.rdbuf();
    int rows = 0;
    for (std::string line; std::getline(page, line);) {
        rows += line.rfind("| `", 0) == 0 ? 1 : 0;
    }
    CHECK(rows == static_cast<int>(error_kind::internal) + 1);
    for (int value = 0; value < rows; ++value) {
        const auto row = expected_row(answer_for(static_cast<error_kind>(value)));
        CHECK_THAT(page.str(), Catch::Contains('\n' + row));
    }
}
