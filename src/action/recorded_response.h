#pragma once

#include <string>
#include <vector>

namespace galenaroad {

/// One header of a recorded response.
struct response_header {
    std::string name;
    std::string value;
};

/// Complete response of an action, recorded for retries by the caller.
struct recorded_response {
    int status = 0;
    std::vector<response_header> headers;
    std::string body;
};

} // namespace galenaroad
