// The periodic and exchange parts of membership; membership.cpp handles gossip and callers.
#include "membership/membership.h"

#include <algorithm>
#include <utility>

namespace galenaroad {

namespace {

using namespace std::chrono_literals;

// A longer gap between ticks means that this process was paused; it must not make other members
// suspect.
constexpr auto max_tick_gap = 1s;
// Join ranges are probed at the early rate for this long, so that separate groups that formed
// during a simultaneous start merge.
constexpr auto early_probe_period = 30s;
// Members from larger responses are left to anti-entropy; disseminating all of them would flood
// gossip.
constexpr std::size_t max_gossiped_members = 16;
constexpr std::size_t max_remembered_requests = 1024;

} // namespace

void membership::tick()
{
    const auto now = m_clock.steady_now();
    const auto gap = now - m_last_tick;
    m_last_tick = now;
    if (gap > max_tick_gap) {
        m_members.compensate_for_pause(gap);
        m_own.compensate_for_pause(gap);
        m_detector.reset();
    }
    join(now);
    m_own.expire(now);
    if (m_own.due(now)) {
        publish(m_own.removes_upstreams() ? update_queue::urgency::prompt
                                          : update_queue::urgency::piggyback);
    }
    detect(now);
    retry_dead_members(now);
    compare_with_random_member(now);
    gossip_if_due(now);
    if (m_view_changed) {
        rebuild_view();
        report_view();
    }
}

void membership::detect(steady_time now)
{
    for (auto& each : m_detector.tick(now)) {
        send(each.address, std::move(each.message));
    }
    for (const auto at : m_detector.take_failed()) {
        if (m_members.suspect(at, now)) {
            const auto& entry = m_members[at];
            m_own_suspicions.insert(entry.record->name);
            m_queue.push(state_change{entry.record->name, entry.record->incarnation, entry.version,
                                      entry.record->content_version, instance_state::suspect});
            m_view_changed = true;
        }
    }
    for (const auto at : m_members.expire(now, m_settings.suspicion, m_settings.forget_dead)) {
        const auto& entry = m_members[at];
        m_view_changed = true;
        // All daemons time out the suspicion themselves; only those that raised it from their own
        // pings send an update.
        if (m_own_suspicions.erase(entry.record->name) > 0) {
            m_queue.push(state_change{entry.record->name, entry.record->incarnation, entry.version,
                                      entry.record->content_version, instance_state::dead});
        }
    }
}

void membership::join(steady_time now)
{
    if (m_ranges.empty()) {
        return;
    }
    const auto& own = *m_own.published().record;
    if (!m_joined && now >= m_next_join) {
        m_next_join = now + m_settings.join_interval;
        const auto address = m_ranges.random(m_random);
        if (address != own.peer_address) {
            m_synchronise.push_back({address, m_exchange.join_request()});
        }
        return;
    }
    if (m_joined && now >= m_next_probe) {
        const bool early = now - m_started < early_probe_period;
        m_next_probe = now + (early ? m_settings.early_probe_interval : m_settings.retry_interval);
        gossip_message probe;
        probe.type = gossip_type::ping;
        probe.updates.members.push_back(m_own.published());
        const auto address = m_ranges.random(m_random);
        if (address != own.peer_address) {
            send(address, std::move(probe));
        }
    }
}

void membership::retry_dead_members(steady_time now)
{
    if (!m_disputed.empty()) {
        ping_dead_member(m_disputed.back());
        m_disputed.pop_back();
    }
    if (now < m_next_retry) {
        return;
    }
    m_next_retry = now + m_settings.retry_interval;
    m_ejections.expire(now);
    m_queue.expire(now);
    if (m_member_requested_at.size() > max_remembered_requests) {
        m_member_requested_at.clear();
    }
    ping_dead_member(m_members.random(m_random, [](const member_entry& entry) {
        return entry.observed_state == instance_state::dead && !entry.leaving;
    }));
}

void membership::ping_dead_member(member_table::slot at)
{
    if (at == member_table::no_slot || !m_members[at].record ||
        m_members[at].observed_state != instance_state::dead) {
        return;
    }
    const auto& entry = m_members[at];
    gossip_message ping;
    ping.type = gossip_type::ping;
    ping.target = entry.record->name;
    send(entry.record->peer_address, std::move(ping),
         {{entry.record->name, entry.record->incarnation, entry.version,
           entry.record->content_version, instance_state::dead}});
}

void membership::compare_with_random_member(steady_time now)
{
    if (now < m_next_comparison) {
        return;
    }
    m_next_comparison = now + m_settings.synchronise_interval;
    const auto at = m_members.random(m_random, [](const member_entry& entry) {
        return entry.observed_state == instance_state::alive;
    });
    if (at != member_table::no_slot) {
        m_synchronise.push_back({m_members[at].record->peer_address, m_exchange.digest_request()});
    }
}

member_response membership::answer(const member_request& request)
{
    if (request.sender.record) {
        const origin from{request.sender.record->name, request.sender.record->peer_address};
        apply(request.sender, from, update_queue::urgency::piggyback);
        for (const auto& each : request.pushed) {
            m_view_changed |=
                !is_self(each.record->name) &&
                m_members.merge(each, m_clock.steady_now()) != merge_result::unchanged;
        }
    }
    return m_exchange.answer(request, m_clock.steady_now());
}

void membership::merge(const std::string& address, const member_response& response)
{
    m_joined = true;
    const origin from{{}, address};
    const bool may_gossip = response.members.size() <= max_gossiped_members;
    for (const auto& each : response.members) {
        if (may_gossip || is_self(each.record->name)) {
            apply(each, from, update_queue::urgency::piggyback);
            continue;
        }
        m_view_changed |= m_members.merge(each, m_clock.steady_now()) != merge_result::unchanged;
    }
    for (const auto& each : response.changes) {
        apply(each, from);
    }
    for (const auto& each : response.ejections) {
        apply(each, from);
    }
    auto next = m_exchange.follow_up(response);
    if (next.needed) {
        m_synchronise.push_back({address, std::move(next.request)});
    }
    m_disputed.insert(m_disputed.end(), next.disputed.begin(), next.disputed.end());
}

void membership::rebuild_view()
{
    const auto& own = m_own.published();
    std::vector<member> listed;
    listed.reserve(m_members.live() + 1);
    bool own_listed = false;
    m_members.for_each([&](member_table::slot, const member_entry& entry) {
        if (entry.observed_state == instance_state::dead) {
            return;
        }
        if (!own_listed && own.record->name < entry.record->name) {
            listed.push_back(own);
            own_listed = true;
        }
        listed.push_back({entry.record, entry.version, entry.state()});
    });
    if (!own_listed) {
        listed.push_back(own);
    }
    const auto number = m_view ? m_view->number() + 1 : 1;
    m_view = std::make_shared<const membership_view>(std::move(listed), number);
    m_view_changed = false;
}

void membership::report_view() const
{
    if (m_hooks.changed) {
        m_hooks.changed(m_view);
    }
}

} // namespace galenaroad
