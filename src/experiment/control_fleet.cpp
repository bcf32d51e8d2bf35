#include "experiment/control_fleet.h"

#include <algorithm>
#include <utility>

namespace galenaroad {

namespace {

using namespace std::chrono_literals;

constexpr int ports_per_address = 1000;
constexpr int first_port = 7000;

std::string address_of(int index)
{
    return "10.0.0." + std::to_string(1 + index / ports_per_address) + ":" +
           std::to_string(first_port + index % ports_per_address);
}

join_range range_for(int daemons)
{
    join_range range;
    range.first_address = "10.0.0.1";
    range.last_address = "10.0.0." + std::to_string(1 + (daemons - 1) / ports_per_address);
    range.first_port = first_port;
    range.last_port =
        static_cast<std::uint16_t>(first_port + std::min(daemons, ports_per_address) - 1);
    return range;
}

daemon_identity identity_for(int index, const fleet_shape& shape)
{
    daemon_identity identity;
    const int centre = index % (shape.regions * shape.data_centres_per_region);
    const auto region = "region" + std::to_string(centre % shape.regions);
    identity.location = {region, region + "-" + std::to_string(centre / shape.regions)};
    identity.name = identity.location.name + "-" + std::to_string(100000 + index);
    identity.address = address_of(index);
    for (int i = 0; i < shape.upstreams_per_daemon; ++i) {
        const int number = (index * shape.upstreams_per_daemon + i) % shape.services;
        upstream announced;
        announced.id = {identity.name, "upstream-" + std::to_string(i)};
        announced.service = {"business-" + std::to_string(number / 4),
                             "service-" + std::to_string(number % 4)};
        announced.slots = 7;
        announced.connections = 330;
        identity.upstreams.push_back(announced);
    }
    return identity;
}

} // namespace

control_fleet::control_fleet(const fleet_shape& shape)
    : m_shape(shape), m_random(shape.seed), m_network(m_random)
{
    if (m_shape.settings.join_ranges.empty()) {
        m_shape.settings.join_ranges.push_back(range_for(shape.daemons));
    }
    m_slots.resize(static_cast<std::size_t>(shape.daemons));
    for (int i = 0; i < shape.daemons; ++i) {
        m_slots[i].identity = identity_for(i, shape);
        m_by_address[m_slots[i].identity.address] = i;
    }
}

void control_fleet::use_table(table_service& table, object_store& objects)
{
    m_table = &table;
    m_objects = &objects;
}

void control_fleet::start(int index)
{
    auto& slot = m_slots[index];
    const auto seed = m_random();
    slot.daemon = std::make_unique<control_daemon>(slot.identity, m_shape.settings, m_clock, seed);
    if (m_table != nullptr) {
        slot.daemon->use_table(*m_table, *m_objects);
    }
    slot.frozen = false;
    slot.next_tick = m_clock.steady_now() + std::chrono::milliseconds(m_random() % 100);
    ++slot.starts;
}

void control_fleet::start_all()
{
    for (int i = 0; i < size(); ++i) {
        start(i);
    }
}

void control_fleet::kill(int index)
{
    m_slots[index].daemon.reset();
}

void control_fleet::freeze(int index, bool frozen)
{
    m_slots[index].frozen = frozen;
    if (frozen) {
        return;
    }
    for (const auto& each : std::exchange(m_held, {})) {
        deliver(each);
    }
}

std::chrono::microseconds control_fleet::latency(int from, int to) const
{
    switch (distance_between(m_slots[from].identity.location, m_slots[to].identity.location)) {
    case link_distance::same_data_centre:
        return 200us;
    case link_distance::same_region:
        return 1ms;
    case link_distance::cross_region:
        break;
    }
    return 12ms;
}

void control_fleet::run_for(std::chrono::milliseconds span)
{
    step_to(m_clock.steady_now() + span);
}

std::chrono::milliseconds control_fleet::run_until(std::chrono::milliseconds limit,
                                                   const std::function<bool()>& done)
{
    constexpr auto step = 50ms;
    for (auto passed = 0ms; passed <= limit; passed += step) {
        if (done()) {
            return passed;
        }
        run_for(step);
    }
    return -1ms;
}

void control_fleet::step_to(steady_time until)
{
    constexpr auto grain = 10ms; // Ticks fall on this grid; messages arrive at exact times.
    while (m_clock.steady_now() < until) {
        const auto next = std::min(until, m_clock.steady_now() + grain);
        while (m_network.has_due(next)) {
            const auto message = m_network.take();
            m_clock.advance(std::max(message.at - m_clock.steady_now(), 0ns));
            deliver(message);
        }
        m_clock.advance(next - m_clock.steady_now());
        for (int i = 0; i < size(); ++i) {
            if (m_slots[i].daemon && !m_slots[i].frozen && m_slots[i].next_tick <= next) {
                m_slots[i].next_tick = next + tick_interval;
                tick(i);
            }
        }
    }
}

void control_fleet::tick(int index)
{
    m_slots[index].daemon->tick();
    flush(index);
}

void control_fleet::deliver(const fake_network::delivery& message)
{
    auto& slot = m_slots[message.to];
    if (!slot.daemon) {
        return;
    }
    if (slot.frozen) {
        m_held.push_back(message);
        return;
    }
    auto& daemon = *slot.daemon;
    const auto& sender = m_slots[message.from].identity.address;
    if (const auto* gossip = std::get_if<gossip_message>(message.content.get())) {
        daemon.members().receive(*gossip);
    }
    else if (const auto* asked = std::get_if<member_request>(message.content.get())) {
        reply(message.to, message.from, daemon.members().answer(*asked));
    }
    else if (const auto* answered = std::get_if<member_response>(message.content.get())) {
        daemon.members().merge(sender, *answered);
    }
    else if (const auto* wanted = std::get_if<contract_request>(message.content.get())) {
        reply(message.to, message.from, daemon.follower().answer(*wanted));
    }
    else if (const auto* fetched = std::get_if<contract_response>(message.content.get())) {
        daemon.follower().merge(sender, *fetched);
    }
    flush(message.to);
}

void control_fleet::flush(int index)
{
    auto& daemon = *m_slots[index].daemon;
    for (auto& each : daemon.members().take_gossip()) {
        send(index, each.address, std::move(each.message));
    }
    for (auto& each : daemon.members().take_synchronise()) {
        send(index, each.address, std::move(each.request));
    }
    for (auto& each : daemon.follower().take_fetches()) {
        send(index, each.address, std::move(each.request));
    }
}

void control_fleet::send(int from, const std::string& address, fake_network::payload content)
{
    const auto found = m_by_address.find(address);
    if (found != m_by_address.end() && found->second != from) {
        reply(from, found->second, std::move(content));
    }
}

void control_fleet::reply(int from, int to, fake_network::payload content)
{
    if (m_observer) {
        m_observer(from, to, content);
    }
    fake_network::delivery message;
    message.from = from;
    message.to = to;
    message.content = std::make_shared<const fake_network::payload>(std::move(content));
    m_network.send(std::move(message), m_clock.steady_now(), latency(from, to));
}

instance_state control_fleet::state_seen(int index, int other) const
{
    const auto view = m_slots[index].daemon->members().view();
    const auto* found = view->find(m_slots[other].identity.name);
    return found == nullptr ? instance_state::dead : found->state;
}

bool control_fleet::converged() const
{
    const auto runs = [](const daemon_slot& slot) { return slot.daemon != nullptr; };
    const auto expected =
        static_cast<std::size_t>(std::count_if(m_slots.begin(), m_slots.end(), runs));
    for (int i = 0; i < size(); ++i) {
        if (!running(i)) {
            continue;
        }
        const auto view = m_slots[i].daemon->members().view();
        const auto alive = [&](const member& known) {
            return known.state == instance_state::alive;
        };
        const auto& all = view->members();
        if (all.size() != expected || !std::all_of(all.begin(), all.end(), alive)) {
            return false;
        }
    }
    return true;
}

} // namespace galenaroad
