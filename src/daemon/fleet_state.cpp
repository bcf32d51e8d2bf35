#include "daemon/fleet_state.h"

#include <tuple>

namespace galenaroad {

namespace {

bool is_newer(const instance& a, const instance& b)
{
    return std::tie(a.incarnation, a.version) > std::tie(b.incarnation, b.version);
}

} // namespace

fleet_state::fleet_state(instance own, snapshot_cell<fleet_view>& published)
    : m_own(std::move(own)), m_published(published), m_builder(m_own.name, m_own.location)
{
}

void fleet_state::set_address(const std::string& peer_address)
{
    m_own.peer_address = peer_address;
    note_own_change();
}

void fleet_state::set_upstreams(std::vector<upstream> upstreams)
{
    m_own.upstreams = std::move(upstreams);
    note_own_change();
}

void fleet_state::start_leaving()
{
    m_own.state = instance_state::leaving;
    note_own_change();
}

void fleet_state::merge(const instance& other)
{
    if (other.name == m_own.name) {
        return;
    }
    const auto found = m_others.find(other.name);
    if (found != m_others.end() && !is_newer(other, found->second)) {
        return;
    }
    m_others[other.name] = other;
    m_changed = true;
}

void fleet_state::remove(const std::string& name, std::uint64_t incarnation)
{
    const auto found = m_others.find(name);
    if (found != m_others.end() && found->second.incarnation == incarnation) {
        m_others.erase(found);
        m_changed = true;
    }
}

void fleet_state::set_contracts(std::vector<std::shared_ptr<const contract>> contracts)
{
    m_contracts = std::move(contracts);
    m_changed = true;
}

void fleet_state::publish()
{
    if (!m_changed || m_own.peer_address.empty()) {
        return;
    }
    auto view = std::make_shared<fleet_view>();
    view->instances.push_back(m_own);
    for (const auto& [name, other] : m_others) {
        view->instances.push_back(other);
    }
    view->contracts = m_contracts;
    view->routing = m_builder.build(view->instances, m_contracts);
    m_published.publish(std::move(view));
    m_changed = false;
}

void fleet_state::note_own_change()
{
    ++m_own.version;
    m_changed = true;
}

} // namespace galenaroad
