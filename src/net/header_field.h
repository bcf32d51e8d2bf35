#pragma once

#include <string>
#include <vector>

namespace galenaroad {

/// One header field of a request or response.
struct header_field {
    std::string name;
    std::string value;
};

using header_list = std::vector<header_field>;

} // namespace galenaroad
