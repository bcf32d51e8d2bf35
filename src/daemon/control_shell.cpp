#include "daemon/control_shell.h"

#include "base/error_kind.h"
#include "peer.pb.h"
#include "peer/statistics_codec.h"

#include <utility>

namespace galenaroad {

namespace {

using namespace std::chrono_literals;

constexpr auto tick_interval = 50ms;
constexpr auto store_interval = 200ms;
constexpr auto judgement_interval = 100ms;

} // namespace

control_shell::control_shell(parts used, std::vector<std::shared_ptr<const contract>> initial,
                             random_engine random)
    : m_parts(std::move(used)),
      m_codec(m_names),
      m_fleet(m_parts.settings, std::move(initial), m_parts.time, random, m_parts.published),
      m_table_reader(m_parts.tables, m_parts.objects, m_parts.time),
      m_reader(m_table_reader, m_parts.settings.instance, m_parts.settings.location),
      m_control(tick_interval, [this] { tick(); }),
      m_messenger(m_parts.clients, m_codec, make_events()),
      m_store(store_interval, [this] { store_round(); })
{
}

std::error_code control_shell::start(const std::string& peer_address)
{
    m_control.run_and_wait([&] { m_fleet.start(peer_address); });
    return m_gossip.start(peer_address, [this](const peer::GossipMessage& message) {
        m_control.post_observation([this, received = m_codec.decode(message)] {
            m_fleet.receive(received);
            send_waiting();
        });
    });
}

void control_shell::announce(const upstream_announcement& made)
{
    m_control.run_and_wait([&] { m_fleet.announce(made); });
}

void control_shell::withdraw(const std::string& name)
{
    m_control.run_and_wait([&] {
        m_fleet.withdraw(name);
        send_waiting();
    });
}

void control_shell::leave()
{
    m_control.run_and_wait([this] {
        m_fleet.leave();
        send_waiting();
    });
}

void control_shell::heard(const contract_head& head, const std::string& address)
{
    m_control.post([this, head, address] { m_fleet.heard(head, address); });
}

void control_shell::add_handlers(peer_handlers& handlers)
{
    handlers.levels = [this](const peer::LevelReport& message) {
        std::vector<class_reference> references;
        m_control.run_and_wait(
            [&] { references = m_fleet.health().answer(statistics_codec::decode(message)); });
        return statistics_codec::encode(references);
    };
    handlers.synchronise = [this](const auto& request, const auto& write) {
        synchronise(request, write);
    };
}

void control_shell::stop()
{
    m_store.stop();
    m_gossip.stop();
    m_messenger.stop();
    m_control.stop();
}

void control_shell::tick()
{
    m_fleet.tick();
    judge();
    send_waiting();
    for (const auto& address : m_fleet.take_gone()) {
        m_parts.upstream_gone(address);
    }
}

void control_shell::send_waiting()
{
    if (m_fleet.members() == nullptr) {
        return;
    }
    for (const auto& each : m_fleet.members()->take_gossip()) {
        m_gossip.send(each.address, message_codec::encode(each.message));
    }
    for (auto& each : m_fleet.members()->take_synchronise()) {
        m_messenger.exchange(std::move(each));
    }
    for (auto& each : m_fleet.follower().take_fetches()) {
        m_messenger.fetch(std::move(each));
    }
}

void control_shell::observe(attempt_observation ended)
{
    m_control.post_observation([this, ended = std::move(ended)] { m_fleet.observe(ended); });
}

void control_shell::judge()
{
    const auto now = m_parts.time.steady_now();
    if (now - m_last_judgement < judgement_interval) {
        return;
    }
    m_last_judgement = now;
    m_fleet.judge(m_parts.open.attempts());
    for (const auto& each : m_fleet.health().take_level_reports()) {
        m_messenger.report(each);
    }
    auto orders = m_fleet.take_orders();
    if (!orders.empty()) {
        m_store.post([this, orders = std::move(orders)] {
            for (const auto& order : orders) {
                ejections().carry_out(order);
            }
        });
    }
}

// Used on the store thread only. The writer's identity needs the incarnation after joining.
ejection_worker& control_shell::ejections()
{
    if (!m_ejections) {
        const auto writer =
            m_parts.settings.instance + '.' + std::to_string(m_parts.published.incarnation.load());
        m_ejections = std::make_unique<ejection_worker>(m_parts.tables, m_parts.time, writer,
                                                        [this](const auto& order, const auto& row) {
                                                            m_control.post([this, order, row] {
                                                                m_fleet.row_written(order, row);
                                                                send_waiting();
                                                            });
                                                        });
    }
    return *m_ejections;
}

std::error_code control_shell::drain(const service_id& service, const upstream_id& upstream,
                                     bool is_drained)
{
    ejection_command order;
    order.kind = is_drained ? ejection_command_kind::drain : ejection_command_kind::release;
    order.upstream = upstream;
    order.reason = "operator";
    m_control.run_and_wait([&] { order.capacity = m_fleet.health().capacity_of(service); });
    if (is_drained && order.capacity.find(upstream) == nullptr) {
        return make_error_code(error_kind::route_not_found);
    }
    std::error_code failed;
    m_store.run_and_wait([&] { failed = ejections().carry_out(order); });
    return failed;
}

void control_shell::notify_accepted()
{
    m_store.post([this] { read_table_now(); });
}

void control_shell::read_table_now()
{
    const auto view = m_parts.published.view.load();
    std::vector<contract_head> held;
    if (view->contracts) {
        for (const auto& [business, value] : view->contracts->contracts) {
            held.push_back({business, value->version});
        }
    }
    auto read = m_table_reader.read(held);
    if (read) {
        m_control.post([this, contracts = std::move(*read)] {
            m_fleet.apply_table(contracts);
            send_waiting();
        });
    }
}

// Runs on the store thread: the table may be slow for a long time.
void control_shell::store_round()
{
    m_parts.store_round();
    const auto view = m_parts.published.view.load();
    if (!view->members) {
        return;
    }
    std::vector<contract_head> held;
    for (const auto& [business, value] : view->contracts->contracts) {
        held.push_back({business, value->version});
    }
    std::vector<contract> read;
    if (m_reader.read_if_due(*view->members, held, view->ready, read)) {
        m_control.post([this, read = std::move(read)] { m_fleet.apply_table(read); });
    }
}

void control_shell::synchronise(const peer::SynchroniseRequest& request,
                                const peer_handlers::synchronise_writer& write)
{
    std::vector<peer::SynchroniseResponse> pieces;
    m_control.run_and_wait([&] {
        if (m_fleet.members() == nullptr) {
            return;
        }
        if (request.has_members()) {
            const auto asked = m_codec.decode(request.members());
            pieces = message_codec::encode(m_fleet.members()->answer(asked));
        }
        else {
            const auto asked = message_codec::decode(request.contracts());
            pieces = message_codec::encode(m_fleet.follower().answer(asked));
        }
    });
    for (const auto& piece : pieces) {
        if (!write(piece)) {
            return;
        }
    }
}

peer_messenger::events control_shell::make_events()
{
    peer_messenger::events events;
    events.members = [this](const std::string& address, member_response response) {
        m_control.post([this, address, response = std::move(response)] {
            m_fleet.members()->merge(address, response);
            send_waiting();
        });
    };
    events.contracts = [this](const std::string& address, contract_response response) {
        m_control.post([this, address, response = std::move(response)] {
            m_fleet.follower().merge(address, response);
            send_waiting();
        });
    };
    events.references = [this](const statistics_report& report,
                               std::vector<class_reference> references) {
        m_control.post([this, report, references = std::move(references)] {
            m_fleet.health().set_references(report, references);
        });
    };
    return events;
}

} // namespace galenaroad
