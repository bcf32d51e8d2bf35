#include "standins/standin_backend_server_actions.h"

namespace galenaroad {

std::size_t standin_backend_server_actions::append(standin_action action)
{
    const std::lock_guard lock(m_mutex);
    m_actions.push_back(std::move(action));
    return m_actions.size();
}

nlohmann::json standin_backend_server_actions::json() const
{
    const std::lock_guard lock(m_mutex);
    auto list = nlohmann::json::array();
    for (const auto& action : m_actions) {
        list.push_back({{"path", action.path},
                        {"idempotency_key", action.idempotency_key},
                        {"request_id", action.request_id},
                        {"body", action.body}});
    }
    return list;
}

} // namespace galenaroad
