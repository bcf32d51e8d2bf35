#include "experiment/control_capacity_run.h"

#include "peer.pb.h"
#include "peer/message_codec.h"

#include <algorithm>
#include <ctime>
#include <stdexcept>

namespace galenaroad {

namespace {

using namespace std::chrono_literals;

// The size in two years that churn and load are scaled from; see docs/design.md, section 1.1.
constexpr double target_daemons = 6500;
constexpr double restarts_per_day = 7600;
constexpr double changes_per_day = 21000;
constexpr double seconds_per_day = 86400;
constexpr int upstreams_per_daemon = 11;
constexpr int routes_per_business = 100; ///< 80,000 routes in 3,200 services, four to a business.
// Each simulated daemon parses its own copy, so that only some businesses fit into memory.
constexpr int businesses = 4;

fleet_shape shape_of(const capacity_settings& settings)
{
    fleet_shape shape;
    shape.daemons = settings.daemons;
    shape.regions = 4;
    shape.data_centres_per_region = 3;
    shape.upstreams_per_daemon = upstreams_per_daemon;
    shape.services = std::max(4, settings.daemons * 3200 / 6500);
    shape.seed = settings.seed;
    shape.settings = settings.membership;
    return shape;
}

std::chrono::nanoseconds thread_cpu()
{
    timespec spent{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spent);
    return std::chrono::seconds(spent.tv_sec) + std::chrono::nanoseconds(spent.tv_nsec);
}

contract sample_contract(int business, std::uint64_t version)
{
    contract value;
    value.business = "business-" + std::to_string(business);
    value.version = version;
    value.writer = "operator-" + std::to_string(version);
    value.hosts = {value.business + ".example"};
    for (int i = 0; i < 4; ++i) {
        value.services.push_back({"service-" + std::to_string(i), 30, detection_policy::careful});
    }
    for (int i = 0; i < routes_per_business; ++i) {
        route next;
        next.path_prefix = "/part-" + std::to_string(i) + "/items";
        next.methods = {"GET", "POST"};
        next.service = "service-" + std::to_string(i % 4);
        next.timeout = std::chrono::milliseconds(1000 + 10 * i);
        value.routes.push_back(next);
    }
    return value;
}

/// Encodes a payload as the wire carries it and decodes it again, for its size and its cost.
struct wire_size {
    const message_codec& codec;

    std::uint64_t operator()(const gossip_message& message) const
    {
        const auto bytes = message_codec::encode(message).SerializeAsString();
        peer::GossipMessage received;
        received.ParseFromString(bytes);
        static_cast<void>(codec.decode(received));
        return bytes.size();
    }
    std::uint64_t operator()(const member_request& request) const
    {
        return message_codec::encode(request).ByteSizeLong();
    }
    std::uint64_t operator()(const contract_request& request) const
    {
        return message_codec::encode(request).ByteSizeLong();
    }
    template <typename Response>
    std::uint64_t operator()(const Response& response) const
    {
        std::uint64_t bytes = 0;
        for (const auto& each : message_codec::encode(response)) {
            bytes += each.ByteSizeLong();
        }
        return bytes;
    }
};

double median(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return values.empty() ? 0 : values[values.size() / 2];
}

double greatest(const std::vector<double>& values)
{
    return values.empty() ? 0 : *std::max_element(values.begin(), values.end());
}

} // namespace

control_capacity_run::control_capacity_run(const capacity_settings& settings)
    : m_settings(settings),
      m_fleet(shape_of(settings)),
      m_traffic(static_cast<std::size_t>(settings.daemons))
{
}

capacity_row control_capacity_run::run()
{
    m_row.daemons = m_settings.daemons;
    m_row.upstreams = m_settings.daemons * upstreams_per_daemon;
    join_all();
    load_contracts();
    measure_period();
    time_changes();
    time_departures();
    time_kills();
    return m_row;
}

bool control_capacity_run::full_views() const
{
    const auto complete = [](const member& known) {
        return known.record->upstreams.size() == upstreams_per_daemon;
    };
    for (int i = 0; i < m_fleet.size(); ++i) {
        const auto view = m_fleet[i].members().view();
        const auto& all = view->members();
        if (all.size() != static_cast<std::size_t>(m_fleet.size()) ||
            !std::all_of(all.begin(), all.end(), complete)) {
            return false;
        }
    }
    return true;
}

void control_capacity_run::join_all()
{
    constexpr int first_daemons = 10;
    for (int i = 0; i < m_fleet.size(); ++i) {
        m_fleet.start(i);
        if (i == first_daemons) {
            m_fleet.run_for(5s);
        }
    }
    while (!full_views()) {
        m_fleet.run_for(1s);
        if (m_fleet.time().steady_now().time_since_epoch() > 24h + 20min) {
            throw std::runtime_error("the fleet did not join within 20 minutes");
        }
    }
    m_fleet.run_for(30s);
}

void control_capacity_run::load_contracts()
{
    ++m_version;
    for (int business = 0; business < businesses; ++business) {
        m_fleet[0].store().apply(sample_contract(business, m_version));
    }
    m_fleet[0].follower().on_table_read();
    m_fleet.run_for(20s);
}

void control_capacity_run::change_contract()
{
    const auto changed = static_cast<int>(m_version % businesses);
    ++m_version;
    int notified = 0;
    do {
        notified = static_cast<int>(m_fleet.random()() % m_settings.daemons);
    } while (!m_fleet.running(notified));
    m_fleet[notified].store().apply(sample_contract(changed, m_version));
}

void control_capacity_run::count(int from, int to, const fake_network::payload& content)
{
    const message_codec codec(m_names);
    const auto bytes = std::visit(wire_size{codec}, content);
    m_traffic[from].sent += bytes;
    m_traffic[to].received += bytes;
    ++m_messages;
    const auto distance =
        distance_between(m_fleet.identity(from).location, m_fleet.identity(to).location);
    m_cross_region += distance == link_distance::cross_region ? bytes : 0;
}

void control_capacity_run::restart_next()
{
    if (m_restarting >= 0) {
        m_fleet.start(m_restarting);
        ++m_row.restarts;
        m_restarting = -1;
        return;
    }
    m_restarting = m_next_restart++ % m_settings.daemons;
    m_fleet[m_restarting].leave();
}

void control_capacity_run::measure_period()
{
    const auto per_daemon_s = m_settings.daemons / target_daemons / seconds_per_day;
    const double restart_rate = restarts_per_day * per_daemon_s;
    const double change_rate = changes_per_day * per_daemon_s;
    double restarts_due = 0.5;
    double changes_due = 0.5;
    m_fleet.observe([this](int from, int to, const auto& content) { count(from, to, content); });
    const auto cpu_before = thread_cpu();
    for (auto passed = 0s; passed < m_settings.period; passed += 1s) {
        m_fleet.run_for(1s);
        restarts_due += restart_rate;
        changes_due += change_rate;
        // A restarting daemon leaves, and is replaced a second later or as soon as others allow.
        if (m_restarting >= 0 || restarts_due >= 1) {
            restarts_due -= m_restarting >= 0 ? 0 : 1;
            restart_next();
        }
        for (; changes_due >= 1; --changes_due) {
            change_contract();
            ++m_row.changes;
        }
    }
    const auto cpu = std::chrono::duration<double, std::micro>(thread_cpu() - cpu_before);
    m_fleet.observe({});
    const double daemon_seconds =
        static_cast<double>(m_settings.daemons) * static_cast<double>(m_settings.period.count());
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
    std::uint64_t busiest = 0;
    for (const auto& each : m_traffic) {
        sent += each.sent;
        received += each.received;
        busiest = std::max(busiest, each.sent + each.received);
    }
    m_row.sent_bytes_per_s = static_cast<double>(sent) / daemon_seconds;
    m_row.received_bytes_per_s = static_cast<double>(received) / daemon_seconds;
    m_row.busiest_bytes_per_s =
        static_cast<double>(busiest) / static_cast<double>(m_settings.period.count());
    m_row.cross_region_bytes_per_s = static_cast<double>(m_cross_region) / daemon_seconds;
    m_row.messages_per_s = static_cast<double>(m_messages) / daemon_seconds;
    m_row.cpu_us_per_s = cpu.count() / daemon_seconds;
    if (m_restarting >= 0) {
        restart_next();
    }
    m_fleet.run_for(30s);
}

double control_capacity_run::time_change()
{
    change_contract();
    const auto business = "business-" + std::to_string((m_version - 1) % businesses);
    const auto took = m_fleet.run_until(30s, [&] {
        for (int i = 0; i < m_fleet.size(); ++i) {
            if (m_fleet[i].store().version_of(business) < m_version) {
                return false;
            }
        }
        return true;
    });
    return static_cast<double>(took.count());
}

void control_capacity_run::time_changes()
{
    std::vector<double> times;
    for (int i = 0; i < m_settings.probes; ++i) {
        times.push_back(time_change());
        m_fleet.run_for(2s);
    }
    m_row.in_force_median_ms = median(times);
    m_row.in_force_worst_ms = greatest(times);
}

bool control_capacity_run::out_of_all_views(int gone) const
{
    for (int i = 0; i < m_fleet.size(); ++i) {
        if (i == gone || !m_fleet.running(i)) {
            continue;
        }
        const auto view = m_fleet[i].members().view();
        const auto* found = view->find(m_fleet.identity(gone).name);
        if (found != nullptr && membership_view::accepts_requests(*found)) {
            return false;
        }
    }
    return true;
}

void control_capacity_run::time_departures()
{
    std::vector<double> times;
    for (int i = 0; i < m_settings.probes / 2; ++i) {
        const auto gone = static_cast<int>(m_fleet.random()() % m_settings.daemons);
        m_fleet[gone].leave();
        const auto took = m_fleet.run_until(30s, [&] { return out_of_all_views(gone); });
        times.push_back(static_cast<double>(took.count()));
        m_fleet.start(gone);
        m_fleet.run_for(10s);
    }
    m_row.left_all_ms = greatest(times);
}

void control_capacity_run::time_kills()
{
    std::vector<double> first_times;
    std::vector<double> all_times;
    for (int i = 0; i < m_settings.probes / 2; ++i) {
        const auto gone = static_cast<int>(m_fleet.random()() % m_settings.daemons);
        m_fleet.kill(gone);
        const auto first = m_fleet.run_until(60s, [&] {
            for (int other = 0; other < m_fleet.size(); ++other) {
                if (m_fleet.running(other) &&
                    m_fleet.state_seen(other, gone) == instance_state::dead) {
                    return true;
                }
            }
            return false;
        });
        const auto rest = m_fleet.run_until(60s, [&] { return out_of_all_views(gone); });
        first_times.push_back(static_cast<double>(first.count()));
        all_times.push_back(static_cast<double>((first + rest).count()));
        m_fleet.start(gone);
        m_fleet.run_for(10s);
    }
    m_row.detected_first_ms = median(first_times);
    m_row.detected_all_ms = greatest(all_times);
}

} // namespace galenaroad
