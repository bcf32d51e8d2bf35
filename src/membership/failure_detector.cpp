#include "membership/failure_detector.h"

#include <algorithm>
#include <utility>

namespace galenaroad {

namespace {

constexpr auto relay_lifetime = std::chrono::seconds(2);

bool live(const member_entry& entry)
{
    return entry.record && entry.observed_state != instance_state::dead;
}

} // namespace

failure_detector::failure_detector(const membership_settings& settings, const member_table& members,
                                   data_centre location, random_engine& engine)
    : m_settings(settings), m_members(members), m_location(std::move(location)), m_random(engine)
{
}

bool failure_detector::local(const member_entry& entry) const
{
    return *entry.record->location == m_location;
}

member_table::slot failure_detector::next_local()
{
    for (int round = 0; round < 2; ++round) {
        while (m_position < m_order.size()) {
            const auto at = m_order[m_position++];
            if (at < m_members.slots() && live(m_members[at]) && local(m_members[at])) {
                return at;
            }
        }
        m_order.clear();
        m_position = 0;
        m_members.for_each([this](member_table::slot at, const member_entry& entry) {
            if (live(entry) && local(entry)) {
                m_order.push_back(at);
            }
        });
        std::shuffle(m_order.begin(), m_order.end(), m_random);
    }
    return member_table::no_slot;
}

void failure_detector::ping(member_table::slot at, steady_time now, messages& out)
{
    if (at == member_table::no_slot) {
        return;
    }
    const auto& record = *m_members[at].record;
    const auto sequence = ++m_sequence;
    m_pending_pings[sequence] = {at, record.name, now, false};
    gossip_message message;
    message.type = gossip_type::ping;
    message.sequence = sequence;
    message.target = record.name;
    out.push_back({record.peer_address, std::move(message)});
}

void failure_detector::send_indirect_pings(std::uint64_t sequence, const pending_ping& pending,
                                           messages& out)
{
    const auto& target = *m_members[pending.at].record;
    const auto can_relay = [&](const member_entry& entry) {
        return entry.observed_state == instance_state::alive && entry.record->name != target.name;
    };
    const auto can_relay_nearby = [&](const member_entry& entry) {
        return can_relay(entry) && entry.record->location->region == target.location->region;
    };
    std::set<member_table::slot> relays;
    for (int i = 0; i < m_settings.indirect_pings; ++i) {
        // The last relay may be in any region, because a partition can separate whole regions.
        const bool last = i + 1 == m_settings.indirect_pings;
        auto at = last ? m_members.random(m_random, can_relay)
                       : m_members.random(m_random, can_relay_nearby);
        relays.insert(at == member_table::no_slot ? m_members.random(m_random, can_relay) : at);
    }
    relays.erase(member_table::no_slot);
    for (const auto at : relays) {
        gossip_message message;
        message.type = gossip_type::indirect_ping;
        message.sequence = sequence;
        message.target = target.name;
        message.target_address = target.peer_address;
        out.push_back({m_members[at].record->peer_address, std::move(message)});
    }
}

void failure_detector::check_pending_pings(steady_time now, messages& out)
{
    for (auto each = m_pending_pings.begin(); each != m_pending_pings.end();) {
        auto& pending = each->second;
        const bool obsolete = pending.at >= m_members.slots() || !live(m_members[pending.at]) ||
                              m_members[pending.at].record->name != pending.name;
        const bool failed = now - pending.sent >= m_settings.ping_interval;
        if (!obsolete && failed) {
            m_failed.push_back(pending.at);
        }
        if (obsolete || failed) {
            each = m_pending_pings.erase(each);
            continue;
        }
        if (!pending.indirect && now - pending.sent >= m_settings.indirect_after) {
            pending.indirect = true;
            send_indirect_pings(each->first, pending, out);
        }
        ++each;
    }
    for (auto each = m_relayed_pings.begin(); each != m_relayed_pings.end();) {
        const bool expired = now - each->second.sent > relay_lifetime;
        each = expired ? m_relayed_pings.erase(each) : std::next(each);
    }
}

std::vector<detector_message> failure_detector::tick(steady_time now)
{
    messages out;
    check_pending_pings(now, out);
    if (now >= m_next_ping) {
        m_next_ping = now + m_settings.ping_interval;
        ping(next_local(), now, out);
    }
    if (now >= m_next_remote_ping) {
        m_next_remote_ping = now + m_settings.remote_ping_interval;
        const auto elsewhere = [this](const member_entry& entry) {
            return live(entry) && !local(entry);
        };
        ping(m_members.random(m_random, elsewhere), now, out);
    }
    return out;
}

std::vector<member_table::slot> failure_detector::take_failed()
{
    return std::exchange(m_failed, {});
}

detector_message failure_detector::relay(const gossip_message& request, steady_time now)
{
    const auto sequence = ++m_sequence;
    m_relayed_pings[sequence] = {request.sender_address, request.sequence, request.target, now};
    gossip_message message;
    message.type = gossip_type::ping;
    message.sequence = sequence;
    message.target = request.target;
    return {request.target_address, std::move(message)};
}

std::optional<ping_outcome>
failure_detector::on_acknowledgement(const gossip_message& message,
                                     std::optional<detector_message>& forward)
{
    const auto relayed = m_relayed_pings.find(message.sequence);
    if (relayed != m_relayed_pings.end()) {
        gossip_message forwarded;
        forwarded.type = gossip_type::acknowledgement;
        forwarded.sequence = relayed->second.sequence;
        forwarded.target = relayed->second.target;
        forward = detector_message{relayed->second.address, std::move(forwarded)};
        m_relayed_pings.erase(relayed);
        return std::nullopt;
    }
    const auto found = m_pending_pings.find(message.sequence);
    if (found == m_pending_pings.end()) {
        return std::nullopt;
    }
    ping_outcome outcome;
    outcome.member = found->second.name;
    outcome.direct = message.sender == found->second.name;
    if (outcome.direct) {
        outcome.link_changed = m_marked_links.erase(outcome.member) > 0;
    }
    else {
        outcome.link_changed = m_marked_links.insert(outcome.member).second;
    }
    m_pending_pings.erase(found);
    return outcome;
}

void failure_detector::reset()
{
    m_pending_pings.clear();
    m_relayed_pings.clear();
}

} // namespace galenaroad
