#include "membership/own_record.h"

#include "membership/name_pool.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace galenaroad {

namespace {

std::uint16_t bounded(int value)
{
    constexpr int max_value = std::numeric_limits<std::uint16_t>::max();
    return static_cast<std::uint16_t>(std::clamp(value, 0, max_value));
}

bool equal(const member_upstream& a, const member_upstream& b)
{
    return a.service == b.service && a.slots == b.slots && a.connections == b.connections &&
           a.state == b.state;
}

} // namespace

own_record::own_record(member_record identity, const membership_settings& settings)
    : m_expiry(settings.announcement_expiry), m_publish_interval(settings.publish_interval)
{
    identity.content_version = 1;
    m_published.version = 1;
    m_published.record = std::make_shared<const member_record>(std::move(identity));
}

bool own_record::announce(const upstream& announced, name_pool& names, steady_time now)
{
    const member_upstream content{announced.id.name, names.share(announced.service),
                                  bounded(announced.slots), bounded(announced.connections),
                                  announced.state};
    const auto [found, added] = m_announcements.try_emplace(announced.id.name);
    auto& held = found->second;
    held.renewed = now;
    if (!added && equal(held.content, content)) {
        return false;
    }
    held.content = content;
    m_changed = true;
    return content.state == upstream_state::leaving;
}

bool own_record::withdraw(const std::string& name)
{
    const bool known = m_announcements.erase(name) > 0;
    m_changed = m_changed || known;
    return known;
}

void own_record::expire(steady_time now)
{
    for (auto each = m_announcements.begin(); each != m_announcements.end();) {
        if (now - each->second.renewed <= m_expiry) {
            ++each;
            continue;
        }
        each = m_announcements.erase(each);
        m_changed = true;
    }
}

bool own_record::due(steady_time now) const
{
    return m_changed && now - m_last_publish >= m_publish_interval;
}

bool own_record::removes_upstreams() const
{
    return m_announcements.size() < m_published.record->upstreams.size();
}

void own_record::publish(steady_time now)
{
    auto next = std::make_shared<member_record>(*m_published.record);
    next->upstreams.clear();
    next->upstreams.reserve(m_announcements.size());
    for (const auto& each : m_announcements) {
        next->upstreams.push_back(each.second.content);
    }
    ++m_published.version;
    next->content_version = m_published.version;
    m_published.record = std::move(next);
    m_last_publish = now;
    m_changed = false;
}

void own_record::raise_version_above(std::uint64_t version)
{
    m_published.version = std::max(m_published.version, version) + 1;
}

void own_record::leave()
{
    ++m_published.version;
    m_published.state = instance_state::leaving;
}

void own_record::raise_incarnation_above(std::uint64_t incarnation)
{
    auto next = std::make_shared<member_record>(*m_published.record);
    next->incarnation = incarnation + 1;
    m_published.record = std::move(next);
}

void own_record::compensate_for_pause(std::chrono::nanoseconds pause)
{
    for (auto& each : m_announcements) {
        each.second.renewed += std::chrono::duration_cast<steady_time::duration>(pause);
    }
}

} // namespace galenaroad
