#include "support/port_block.h"

#include <catch2/catch.hpp>

using namespace galenaroad;

TEST_CASE("port_block: no port is in two blocks", "[support]")
{
    // Guards against tests that run at the same time, get the same number of a block from their
    // process ids and then take each other's ports.
    constexpr int preferred = port_block::count - 1;
    port_block first(preferred);
    port_block second(preferred);
    const auto distance = std::abs(first.first_port() - second.first_port());
    CHECK(distance >= port_block::size);
    CHECK(first.free_address() != second.free_address());
}
