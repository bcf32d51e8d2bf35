#pragma once

#include "support/port_block.h"

#include <Poco/Process.h>
#include <string>

namespace galenaroad {

/// Hands out loopback addresses for listeners, from ports that only this process uses: a port that
/// was only free a moment ago may be taken by a test that runs at the same time.
/// @return an address whose port is free.
/// @throw std::runtime_error when all ports of this process are in use.
inline std::string free_address()
{
    static port_block ports(static_cast<int>(Poco::Process::id() % port_block::count));
    return ports.free_address();
}

} // namespace galenaroad
