#include "daemon/fleet_control.h"

#include "membership/membership_builder.h"

#include <random>
#include <utility>

namespace galenaroad {

namespace {

std::pair<std::string, std::uint16_t> split(const std::string& address)
{
    const auto colon = address.rfind(':');
    return {address.substr(0, colon),
            static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)))};
}

join_range to_join_range(const address_range& range)
{
    const auto first = split(range.at(0));
    const auto last = split(range.at(range.size() - 1));
    return {first.first, last.first, first.second, last.second};
}

} // namespace

fleet_control::fleet_control(const daemon_settings& settings,
                             std::vector<std::shared_ptr<const contract>> initial,
                             const clock& time, random_engine random, published_state& published)
    : m_settings(settings),
      m_initial(std::move(initial)),
      m_clock(time),
      m_random(random),
      m_published(published),
      m_registry(settings.instance, time),
      m_contracts([this](const contract& changed) { note_contract(changed); }),
      m_follower(m_contracts, time, [this] { return random_peer(); }),
      m_health(settings.instance, time),
      m_routing(settings.instance, settings.location),
      m_started(time.steady_now())
{
    m_routing.preference([this](const service_id& service, const upstream_id& id) {
        return m_health.preference(service, id);
    });
}

void fleet_control::start(const std::string& peer_address)
{
    m_started = m_clock.steady_now();
    m_membership = membership_builder()
                       .name(m_settings.instance)
                       .peer_address(peer_address)
                       .location(m_settings.location)
                       .settings(membership_settings_of(m_settings))
                       .hooks(make_hooks())
                       .time(m_clock)
                       .random(m_random)
                       .build();
    m_published.incarnation = m_membership->incarnation();
    publish_view();
}

void fleet_control::tick()
{
    if (!m_membership) {
        return;
    }
    auto gone = m_registry.expire();
    if (!gone.empty()) {
        m_gone.insert(m_gone.end(), gone.begin(), gone.end());
        publish_upstreams();
    }
    use_initial_contracts();
    m_membership->tick();
    m_follower.tick();
    m_published.incarnation = m_membership->incarnation();
    publish_view();
}

void fleet_control::announce(const upstream_announcement& made)
{
    const bool is_changed = m_registry.announce(made);
    // Each announcement renews the upstream in the membership as well.
    for (const auto& announced : m_registry.records()) {
        if (announced.id.name == made.name && m_membership) {
            m_membership->announce(announced);
        }
    }
    if (is_changed) {
        publish_upstreams();
    }
}

void fleet_control::withdraw(const std::string& name)
{
    if (!m_registry.withdraw(name)) {
        return;
    }
    if (m_membership) {
        m_membership->withdraw(name);
    }
    publish_upstreams();
}

void fleet_control::leave()
{
    if (m_membership) {
        m_membership->leave();
    }
    publish_view();
}

void fleet_control::receive(const gossip_message& message)
{
    if (m_membership) {
        m_membership->receive(message);
    }
}

void fleet_control::apply_table(std::vector<contract> read)
{
    for (auto& each : read) {
        m_contracts.apply(std::move(each));
    }
    m_follower.on_table_read();
    m_view_changed = true;
}

void fleet_control::heard(const contract_head& head, const std::string& address)
{
    m_follower.on_contract_head(head, address);
}

void fleet_control::use_initial_contracts()
{
    const bool is_due = m_clock.steady_now() - m_started >= initial_contracts_delay;
    if (m_initial.empty() || !is_due) {
        return;
    }
    if (!m_follower.ready()) {
        for (const auto& each : m_initial) {
            m_contracts.apply(*each);
        }
        m_follower.on_table_read();
        m_view_changed = true;
    }
    m_initial.clear();
}

membership_settings fleet_control::membership_settings_of(const daemon_settings& settings) const
{
    membership_settings made;
    for (const auto& range : settings.join_ranges) {
        made.join_ranges.push_back(to_join_range(range));
    }
    return made;
}

membership_hooks fleet_control::make_hooks()
{
    membership_hooks hooks;
    hooks.changed = [this](const auto& /*view*/) { m_view_changed = true; };
    hooks.contract_head_received = [this](const auto& head, const auto& address) {
        m_follower.on_contract_head(head, address);
    };
    hooks.ejection_row_received = [this](const auto& row) { m_health.receive(row); };
    hooks.contracts_differ = [this](const auto& address) {
        m_follower.on_contracts_differ(address);
    };
    return hooks;
}

std::string fleet_control::random_peer()
{
    const auto view = m_membership ? m_membership->view() : nullptr;
    if (!view || view->members().size() < 2) {
        return {};
    }
    std::uniform_int_distribution<std::size_t> any(0, view->members().size() - 1);
    const auto& chosen = *view->members()[any(m_random)].record;
    return chosen.name == m_settings.instance ? std::string() : chosen.peer_address;
}

void fleet_control::note_contract(const contract& changed)
{
    m_view_changed = true;
    if (m_membership) {
        m_membership->broadcast(contract_head{changed.business, changed.version});
        m_membership->set_contracts_fingerprint(m_contracts.fingerprint());
    }
}

void fleet_control::publish_upstreams()
{
    m_published.upstreams.publish(m_registry.snapshot());
}

void fleet_control::judge(const std::vector<running_attempt>& open)
{
    for (auto& order : m_health.tick(open)) {
        m_orders.push_back(std::move(order));
    }
    for (const auto& service : m_health.take_changed()) {
        m_routing.mark_changed(service);
        m_view_changed = true;
    }
    publish_reports();
    publish_view();
}

void fleet_control::row_written(const ejection_command& order, const aged_row& row)
{
    const auto copy = m_health.written(order, row);
    if (m_membership) {
        m_membership->broadcast(copy);
    }
}

void fleet_control::publish_reports()
{
    auto reports = std::make_shared<owner_reports>();
    for (const auto& announced : m_registry.records()) {
        (*reports)[announced.id.name] = m_health.report_for(announced.service, announced.id);
    }
    m_published.reports.publish(std::move(reports));
}

void fleet_control::publish_view()
{
    const bool is_newly_ready = m_follower.ready() && !m_published.view.load()->ready;
    if (!m_membership || (!m_view_changed && !is_newly_ready)) {
        return;
    }
    auto view = std::make_shared<fleet_view>();
    view->members = m_membership->view();
    view->contracts = m_contracts.snapshot();
    view->ready = m_follower.ready();
    if (view->members != m_published.view.load()->members ||
        view->contracts != m_published.view.load()->contracts) {
        m_health.update(view->members, view->contracts);
    }
    routing_snapshot_builder::contract_list contracts;
    for (const auto& [business, held] : view->contracts->contracts) {
        contracts.push_back(held);
    }
    view->routing = m_routing.build(*view->members, contracts);
    m_published.view.publish(std::move(view));
    m_view_changed = false;
}

} // namespace galenaroad
