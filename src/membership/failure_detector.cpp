#include "membership/failure_detector.h"

#include <algorithm>
#include <utility>

namespace galenaroad {

namespace {

constexpr auto relay_lifetime = std::chrono::seconds(2);

bool live(const member_entry& entry)
{
    return entry.record && entry.opinion != instance_state::dead;
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
    m_probes[sequence] = {at, record.name, now, false};
    gossip_message message;
    message.type = gossip_type::ping;
    message.sequence = sequence;
    message.target = record.name;
    out.push_back({record.peer_address, std::move(message)});
}

void failure_detector::ask_others(std::uint64_t sequence, const probe& waiting, messages& out)
{
    const auto& target = *m_members[waiting.at].record;
    const auto helps = [&](const member_entry& entry) {
        return entry.opinion == instance_state::alive && entry.record->name != target.name;
    };
    const auto helps_nearby = [&](const member_entry& entry) {
        return helps(entry) && entry.record->location->region == target.location->region;
    };
    std::set<member_table::slot> helpers;
    for (int i = 0; i < m_settings.indirect_pings; ++i) {
        // The last helper may stand anywhere: a cut can separate whole regions.
        const bool last = i + 1 == m_settings.indirect_pings;
        auto at =
            last ? m_members.random(m_random, helps) : m_members.random(m_random, helps_nearby);
        helpers.insert(at == member_table::no_slot ? m_members.random(m_random, helps) : at);
    }
    helpers.erase(member_table::no_slot);
    for (const auto at : helpers) {
        gossip_message message;
        message.type = gossip_type::indirect_ping;
        message.sequence = sequence;
        message.target = target.name;
        message.target_address = target.peer_address;
        out.push_back({m_members[at].record->peer_address, std::move(message)});
    }
}

void failure_detector::check_probes(steady_time now, messages& out)
{
    for (auto each = m_probes.begin(); each != m_probes.end();) {
        auto& waiting = each->second;
        const bool gone = waiting.at >= m_members.slots() || !live(m_members[waiting.at]) ||
                          m_members[waiting.at].record->name != waiting.name;
        const bool failed = now - waiting.sent >= m_settings.ping_interval;
        if (!gone && failed) {
            m_failed.push_back(waiting.at);
        }
        if (gone || failed) {
            each = m_probes.erase(each);
            continue;
        }
        if (!waiting.indirect && now - waiting.sent >= m_settings.indirect_after) {
            waiting.indirect = true;
            ask_others(each->first, waiting, out);
        }
        ++each;
    }
    for (auto each = m_relays.begin(); each != m_relays.end();) {
        const bool expired = now - each->second.sent > relay_lifetime;
        each = expired ? m_relays.erase(each) : std::next(each);
    }
}

std::vector<detector_message> failure_detector::tick(steady_time now)
{
    messages out;
    check_probes(now, out);
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
    m_relays[sequence] = {request.sender_address, request.sequence, request.target, now};
    gossip_message message;
    message.type = gossip_type::ping;
    message.sequence = sequence;
    message.target = request.target;
    return {request.target_address, std::move(message)};
}

std::optional<ping_outcome> failure_detector::acknowledged(const gossip_message& message,
                                                           std::optional<detector_message>& forward)
{
    const auto relayed = m_relays.find(message.sequence);
    if (relayed != m_relays.end()) {
        gossip_message passed;
        passed.type = gossip_type::acknowledgement;
        passed.sequence = relayed->second.sequence;
        passed.target = relayed->second.target;
        forward = detector_message{relayed->second.address, std::move(passed)};
        m_relays.erase(relayed);
        return std::nullopt;
    }
    const auto found = m_probes.find(message.sequence);
    if (found == m_probes.end()) {
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
    m_probes.erase(found);
    return outcome;
}

void failure_detector::reset()
{
    m_probes.clear();
    m_relays.clear();
}

} // namespace galenaroad
