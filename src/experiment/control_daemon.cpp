#include "experiment/control_daemon.h"

#include "membership/membership_builder.h"

#include <algorithm>
#include <utility>

namespace galenaroad {

namespace {

constexpr auto renewal_interval = std::chrono::seconds(2);

} // namespace

control_daemon::control_daemon(const daemon_identity& identity, const membership_settings& settings,
                               const clock& time, std::uint64_t seed)
    : m_identity(identity),
      m_clock(time),
      m_random(seed),
      m_store([this](const contract& changed) { contract_changed(changed); }),
      m_follower(m_store, time, [this] { return random_peer(); })
{
    membership_hooks hooks;
    hooks.contract_head_received = [this](const contract_head& head, const std::string& address) {
        m_follower.on_contract_head(head, address);
    };
    hooks.contracts_differ = [this](const std::string& address) {
        m_follower.on_contracts_differ(address);
    };
    m_members = membership::builder()
                    .name(identity.name)
                    .peer_address(identity.address)
                    .location(identity.location)
                    .settings(settings)
                    .hooks(hooks)
                    .time(time)
                    .random(m_random)
                    .build();
}

void control_daemon::use_table(table_service& table, object_store& objects)
{
    m_reader = std::make_unique<configuration_reader>(table, objects, m_clock);
}

void control_daemon::contract_changed(const contract& changed)
{
    m_members->set_contracts_fingerprint(m_store.fingerprint());
    m_members->broadcast(contract_head{changed.business, changed.version});
}

std::string control_daemon::random_peer()
{
    const auto view = m_members->view();
    const auto& all = view->members();
    const auto& chosen = *all[m_random() % all.size()].record;
    return chosen.name == m_identity.name ? std::string() : chosen.peer_address;
}

void control_daemon::renew_announcements()
{
    if (m_leaving || m_clock.steady_now() < m_next_renewal) {
        return;
    }
    m_next_renewal = m_clock.steady_now() + renewal_interval;
    for (const auto& each : m_identity.upstreams) {
        m_members->announce(each);
    }
}

void control_daemon::read_table_if_due()
{
    if (!m_reader || !m_reader->interval_passed()) {
        return;
    }
    std::vector<reader_candidate> live;
    const auto view = m_members->view();
    for (const auto& each : view->members()) {
        if (membership_view::accepts_requests(each)) {
            live.push_back({each.record->name, each.record->location->region});
        }
    }
    const reader_candidate self{m_identity.name, m_identity.location.region};
    if (!m_reader->due(live, self, m_follower.ready())) {
        return;
    }
    const auto newer = m_reader->read(m_store.heads());
    if (!newer) {
        return;
    }
    for (const auto& each : *newer) {
        m_store.apply(each);
    }
    m_follower.on_table_read();
}

void control_daemon::tick()
{
    renew_announcements();
    m_members->tick();
    m_follower.tick();
    read_table_if_due();
}

void control_daemon::withdraw(const std::string& upstream_name)
{
    auto& all = m_identity.upstreams;
    const auto named = [&](const upstream& each) { return each.id.name == upstream_name; };
    all.erase(std::remove_if(all.begin(), all.end(), named), all.end());
    m_members->withdraw(upstream_name);
}

void control_daemon::leave()
{
    m_leaving = true;
    m_members->leave();
}

} // namespace galenaroad
