#include "base/error_kind.h"

#include <catch2/catch.hpp>

using namespace galenaroad;

TEST_CASE("error_kind: each kind finds its own row", "[base]")
{
    // Guards against a row that is missing or out of order, which would answer with another kind.
    for (int value = 0; value <= static_cast<int>(error_kind::internal); ++value) {
        const auto kind = static_cast<error_kind>(value);
        CHECK(answer_for(kind).kind == kind);
        CHECK(error_kind_named(answer_for(kind).name) == kind);
        CHECK(kind_of(make_error_code(kind)) == kind);
    }
}
