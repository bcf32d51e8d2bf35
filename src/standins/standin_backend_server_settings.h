#pragma once

#include <chrono>
#include <string>

namespace galenaroad {

/// What a stand-in backend server is told when it starts.
struct standin_backend_server_settings {
    std::string name; ///< Unique on the instance.
    std::string business;
    std::string service;
    std::string address = "127.0.0.1:0";
    std::string admin_address; ///< Admin address of its daemon; empty for no announcements.
    std::string entry_address; ///< Entry address of its daemon, for nested calls; may be empty.
    std::string host;          ///< Host name of the business, sent with nested calls.
    std::string spans_file;    ///< Where spans are appended; empty for no spans.
    int slots = 7;
    int connections = 330;
    std::chrono::milliseconds service_time{5};
    std::chrono::milliseconds probe_time{25};
    std::chrono::milliseconds connection_time{1};
};

} // namespace galenaroad
