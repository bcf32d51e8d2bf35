#include "membership/membership.h"

#include "membership/encoded_size.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace galenaroad {

namespace {

using namespace std::chrono_literals;

// Minimum time between digest comparisons that are triggered by single messages.
constexpr auto extra_comparison_interval = 1s;
// Minimum time between requests for the same member.
constexpr auto member_request_interval = 1s;

state_change change_for(const member_entry& entry, instance_state state)
{
    return {entry.record->name, entry.record->incarnation, entry.version,
            entry.record->content_version, state};
}

bool is_live(const member_entry& entry)
{
    return entry.observed_state != instance_state::dead;
}

} // namespace

membership::membership(const member_record& identity, membership_settings settings,
                       membership_hooks hooks, const clock& time, random_engine& engine)
    : m_settings(std::move(settings)),
      m_hooks(std::move(hooks)),
      m_clock(time),
      m_random(engine),
      m_own(identity, m_settings),
      m_queue(m_settings.update_budget_bytes),
      m_detector(m_settings, m_members, *identity.location, engine),
      m_exchange(m_members, m_own, m_ejections),
      m_ranges(m_settings.join_ranges),
      m_started(time.steady_now()),
      m_last_tick(m_started)
{
    // Random phases, so that daemons that start together do not compare, retry or probe at the same
    // times.
    const auto phase = [&](std::chrono::milliseconds interval) {
        return m_started + std::chrono::milliseconds(engine() % (interval.count() + 1));
    };
    m_next_retry = phase(m_settings.retry_interval);
    m_next_probe = phase(m_settings.early_probe_interval);
    m_next_comparison = phase(m_settings.synchronise_interval);
    rebuild_view();
}

bool membership::is_self(const std::string& name) const
{
    return name == m_own.published().record->name;
}

state_change membership::own_change() const
{
    const auto& own = m_own.published();
    return {own.record->name, own.record->incarnation, own.version, own.record->content_version,
            own.state};
}

int membership::send_limit() const
{
    const auto members = static_cast<double>(m_members.live() + 2);
    return static_cast<int>(std::ceil(m_settings.sends_per_log2 * std::log2(members)));
}

void membership::send(const std::string& address, gossip_message message,
                      const std::vector<state_change>& directed)
{
    const auto& own = *m_own.published().record;
    message.sender = own.name;
    message.sender_address = own.peer_address;
    message.contracts_fingerprint = m_contracts_fingerprint;
    std::size_t used = 0;
    for (const auto& each : message.updates.members) {
        used += encoded_bound(each);
    }
    for (const auto& each : directed) {
        used += encoded_bound(each);
        message.updates.changes.push_back(each);
    }
    const auto now = m_clock.steady_now();
    m_queue.fill(message.updates, used, send_limit(), m_ejections, now);
    m_gossip.push_back({address, std::move(message), now});
}

void membership::receive(const gossip_message& message)
{
    const auto now = m_clock.steady_now();
    const origin from{message.sender, message.sender_address};
    apply(message.updates, from);
    if (message.contracts_fingerprint != 0 &&
        message.contracts_fingerprint != m_contracts_fingerprint && m_hooks.contracts_differ) {
        m_hooks.contracts_differ(message.sender_address);
    }
    const bool known = m_members.find(message.sender) != member_table::no_slot;
    if (!known && !is_self(message.sender)) {
        request_comparison(message.sender_address);
    }
    const bool for_self = message.target.empty() || is_self(message.target);
    if (message.type == gossip_type::ping && for_self) {
        acknowledge(message);
    }
    if (message.type == gossip_type::indirect_ping) {
        auto ping = m_detector.relay(message, now);
        send(ping.address, std::move(ping.message));
    }
    if (message.type == gossip_type::acknowledgement) {
        std::optional<detector_message> forward;
        const auto outcome = m_detector.on_acknowledgement(message, forward);
        if (forward) {
            send(forward->address, std::move(forward->message));
        }
        if (outcome && outcome->link_changed && m_hooks.link_reported) {
            m_hooks.link_reported(outcome->member, outcome->direct);
        }
    }
    gossip_if_due(now);
}

void membership::acknowledge(const gossip_message& ping)
{
    gossip_message reply;
    reply.type = gossip_type::acknowledgement;
    reply.sequence = ping.sequence;
    reply.target = m_own.published().record->name;
    std::vector<state_change> directed;
    const auto at = m_members.find(ping.sender);
    if (at != member_table::no_slot && m_members[at].observed_state != instance_state::alive) {
        // The sender has to refute this state before it counts as alive here.
        directed.push_back(change_for(m_members[at], m_members[at].observed_state));
    }
    send(ping.sender_address, std::move(reply), directed);
}

void membership::apply(const gossip_updates& updates, const origin& from)
{
    for (const auto& each : updates.members) {
        apply(each, from, update_queue::urgency::piggyback);
    }
    for (const auto& each : updates.changes) {
        apply(each, from);
    }
    for (const auto& each : updates.contracts) {
        if (m_hooks.contract_head_received) {
            m_hooks.contract_head_received(each, from.address);
        }
    }
    for (const auto& each : updates.ejections) {
        apply(each, from);
    }
}

void membership::apply(const member& update, const origin& from, update_queue::urgency need)
{
    if (is_self(update.record->name)) {
        apply_own({update.record->name, update.record->incarnation, update.version,
                   update.record->content_version, instance_state::alive},
                  from);
        return;
    }
    switch (m_members.merge(update, m_clock.steady_now())) {
    case merge_result::added:
    case merge_result::changed:
        m_queue.push(update, need);
        m_view_changed = true;
        break;
    case merge_result::revived:
        m_queue.push(update, update_queue::urgency::prompt);
        m_view_changed = true;
        break;
    default:
        break;
    }
}

void membership::apply(const state_change& change, const origin& from)
{
    if (is_self(change.name)) {
        apply_own(change, from);
        return;
    }
    const auto outcome = m_members.merge(change, m_clock.steady_now());
    if (outcome == merge_result::unchanged) {
        return;
    }
    if (outcome == merge_result::incomplete) {
        request_member(change.name, from);
        return;
    }
    m_view_changed = true;
    m_queue.push(change);
    if (m_members[m_members.find(change.name)].record->content_version < change.content_version) {
        request_member(change.name, from);
    }
    if (outcome == merge_result::revived && change.name == from.name) {
        request_comparison(from.address); // A partition may have healed.
    }
}

void membership::apply_own(const state_change& change, const origin& from)
{
    const auto& own = m_own.published();
    if (change.incarnation > own.record->incarnation) {
        if (m_joined) {
            m_superseded = true;
            return;
        }
        m_own.raise_incarnation_above(change.incarnation);
        publish(update_queue::urgency::prompt);
        return;
    }
    if (change.incarnation < own.record->incarnation) {
        gossip_message correction;
        correction.updates.members.push_back(own);
        send(from.address, std::move(correction));
        return;
    }
    const bool reported_failed =
        change.state == instance_state::suspect || change.state == instance_state::dead;
    if (change.version > own.version || (reported_failed && change.version == own.version)) {
        m_own.raise_version_above(change.version);
        m_view_changed = true;
        m_queue.push(own_change());
    }
}

void membership::apply(const ejection_row_copy& row, const origin& from)
{
    const auto now = m_clock.steady_now();
    if (row.row.empty()) {
        if (row.row_version > m_ejections.version_of(row.service)) {
            member_request request;
            request.sender = m_own.published();
            request.wanted_rows.push_back(row.service);
            m_synchronise.push_back({from.address, std::move(request)});
        }
        return;
    }
    if (!m_ejections.merge(row, now)) {
        return;
    }
    m_queue.push(row.service);
    if (m_hooks.ejection_row_received) {
        m_hooks.ejection_row_received(row);
    }
}

void membership::request_member(const std::string& name, const origin& from)
{
    const auto now = m_clock.steady_now();
    const auto [found, first] = m_member_requested_at.try_emplace(name, now);
    if (!first && now - found->second < member_request_interval) {
        return;
    }
    found->second = now;
    member_request request;
    request.sender = m_own.published();
    request.wanted.push_back(name);
    m_synchronise.push_back({from.address, std::move(request)});
}

void membership::request_comparison(const std::string& address)
{
    const auto now = m_clock.steady_now();
    if (now - m_last_extra_comparison < extra_comparison_interval) {
        return;
    }
    m_last_extra_comparison = now;
    m_synchronise.push_back({address, m_exchange.digest_request()});
}

void membership::gossip_if_due(steady_time now)
{
    const auto since = now - m_last_gossip;
    const bool first = m_queue.has_unsent() && since >= m_settings.gossip_spacing;
    const bool resend = m_queue.has_prompt() && since >= m_settings.gossip_interval;
    if (!first && !resend) {
        return;
    }
    m_last_gossip = now;
    const auto& here = m_own.published().record->location->region;
    const auto nearby = [&](const member_entry& entry) {
        return is_live(entry) && entry.record->location->region == here;
    };
    std::set<member_table::slot> targets;
    for (int i = 0; i < m_settings.gossip_fanout; ++i) {
        const bool same_region = std::bernoulli_distribution(m_settings.local_share)(m_random);
        auto at = same_region ? m_members.random(m_random, nearby) : member_table::no_slot;
        at = at == member_table::no_slot ? m_members.random(m_random, is_live) : at;
        targets.insert(at);
    }
    targets.erase(member_table::no_slot);
    for (const auto at : targets) {
        send(m_members[at].record->peer_address, {});
    }
}

void membership::announce(const upstream& announced)
{
    if (m_own.announce(announced, m_names, m_clock.steady_now())) {
        publish(update_queue::urgency::prompt);
    }
}

void membership::withdraw(const std::string& name)
{
    if (m_own.withdraw(name)) {
        publish(update_queue::urgency::prompt);
    }
}

void membership::publish(update_queue::urgency need)
{
    m_own.publish(m_clock.steady_now());
    m_queue.push(m_own.published(), need);
    m_view_changed = true;
    gossip_if_due(m_clock.steady_now());
}

void membership::leave()
{
    if (m_own.published().state == instance_state::leaving) {
        return;
    }
    m_own.leave();
    m_queue.push(own_change());
    rebuild_view();
    report_view();
    gossip_if_due(m_clock.steady_now());
}

void membership::broadcast(const contract_head& head)
{
    m_queue.push(head);
    gossip_if_due(m_clock.steady_now());
}

void membership::broadcast(const ejection_row_copy& row)
{
    if (m_ejections.merge(row, m_clock.steady_now())) {
        m_queue.push(row.service);
        gossip_if_due(m_clock.steady_now());
    }
}

void membership::set_contracts_fingerprint(std::uint64_t fingerprint)
{
    m_contracts_fingerprint = fingerprint;
}

std::vector<outgoing_gossip> membership::take_gossip()
{
    const auto now = m_clock.steady_now();
    for (auto& each : m_gossip) {
        // The time that a message was queued also reduces the remaining validity.
        const auto held = std::chrono::ceil<std::chrono::milliseconds>(now - each.queued);
        for (auto& row : each.message.updates.ejections) {
            row.remaining = std::max(row.remaining - held, 0ms);
        }
    }
    return std::exchange(m_gossip, {});
}

std::vector<outgoing_synchronise> membership::take_synchronise()
{
    return std::exchange(m_synchronise, {});
}

std::uint64_t membership::incarnation() const
{
    return m_own.published().record->incarnation;
}

std::shared_ptr<const membership_view> membership::view() const
{
    return m_view;
}

std::vector<ejection_row_copy> membership::ejection_rows() const
{
    return m_ejections.rows(m_clock.steady_now());
}

} // namespace galenaroad
