#include "daemon/upstream_registry.h"

#include <utility>

namespace galenaroad {

upstream_registry::upstream_registry(std::string instance, const clock& time)
    : m_instance(std::move(instance)), m_clock(time)
{
}

bool upstream_registry::announce(const upstream_announcement& made)
{
    auto& held = m_entries[made.name];
    held.valid_until = m_clock.steady_now() + announcement_validity;
    return replace(held, made);
}

bool upstream_registry::replace(entry& held, const upstream_announcement& made)
{
    auto& local = held.local;
    const bool is_new =
        !local.gate || local.address != made.address || local.announced.service != made.service;
    const bool has_left = local.announced.state == upstream_state::leaving;
    if (!is_new && !has_left && local.announced.slots == made.slots) {
        return false;
    }
    if (is_new) {
        local.gate = std::make_shared<slot_gate>(made.slots, m_clock);
    }
    local.gate->resize(made.slots);
    local.address = made.address;
    local.announced.id = {m_instance, made.name};
    local.announced.service = made.service;
    local.announced.slots = made.slots;
    local.announced.connections = made.connections;
    local.announced.state = upstream_state::serving;
    return true;
}

bool upstream_registry::withdraw(const std::string& name)
{
    const auto found = m_entries.find(name);
    if (found == m_entries.end()) {
        return false;
    }
    auto& state = found->second.local.announced.state;
    return std::exchange(state, upstream_state::leaving) != upstream_state::leaving;
}

std::vector<std::string> upstream_registry::expire()
{
    std::vector<std::string> removed;
    const auto now = m_clock.steady_now();
    for (auto each = m_entries.begin(); each != m_entries.end();) {
        if (each->second.valid_until > now) {
            ++each;
            continue;
        }
        removed.push_back(each->second.local.address);
        each = m_entries.erase(each);
    }
    return removed;
}

std::shared_ptr<const local_upstreams> upstream_registry::snapshot() const
{
    auto made = std::make_shared<local_upstreams>();
    for (const auto& [name, held] : m_entries) {
        made->emplace(name, held.local);
    }
    return made;
}

std::vector<upstream> upstream_registry::records() const
{
    std::vector<upstream> made;
    made.reserve(m_entries.size());
    for (const auto& [name, held] : m_entries) {
        made.push_back(held.local.announced);
    }
    return made;
}

} // namespace galenaroad
