#pragma once

#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace galenaroad {

/// An action that ran at a stand-in backend server.
struct standin_action {
    std::string path;
    std::string idempotency_key;
    std::string request_id;
    std::string body;
};

/// All actions that ran, in order. An independent checker reads it to find duplicates.
class standin_backend_server_actions {
public:
    /// Records an action at the moment it runs.
    /// @param action the action.
    /// @return its number, from 1.
    std::size_t append(standin_action action);

    /// @return the list as a JSON array.
    nlohmann::json json() const;

private:
    mutable std::mutex m_mutex;
    std::vector<standin_action> m_actions;
};

} // namespace galenaroad
