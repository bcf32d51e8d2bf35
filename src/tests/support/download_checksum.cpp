#include "tests/support/download_checksum.h"

#include <array>
#include <cstdio>
#include <xxhash.h>

namespace galenaroad {

std::string download_checksum(const std::string& bytes)
{
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx",
                  static_cast<unsigned long long>(XXH64(bytes.data(), bytes.size(), 0)));
    return std::string("xxh64=") + text.data();
}

} // namespace galenaroad
