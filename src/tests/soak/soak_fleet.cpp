#include "soak/soak_fleet.h"

#include "support/free_address.h"
#include "wire_names.h"

#include <array>
#include <csignal>
#include <fstream>
#include <nlohmann/json.hpp>

namespace galenaroad {

namespace {

using namespace std::chrono_literals;

constexpr auto warm_up = 2500ms;
constexpr auto quiet_end = 5000ms; // Lets every request reach its deadline.
constexpr int shortest_deadline_ms = 1500;
constexpr int longest_deadline_ms = 4000;
constexpr auto restart_delay = 200ms;
constexpr auto grace_period = 6s;
constexpr int services = 2;
constexpr std::array<std::chrono::milliseconds, 3> copy_ages{1s, 5s, 15s};

std::string service_name(int index)
{
    return "service-" + std::to_string(index % services);
}

} // namespace

struct soak_fleet::member {
    std::string name;
    std::string entry = free_address();
    std::string peer = free_address();
    std::string announced = free_address(); ///< Where other daemons reach it.
    std::string ready = free_address();
    std::string control = free_address();
    std::string upstream_listen = free_address();
    std::string upstream_address = free_address();
    std::string store_address = free_address();
    std::string service;
    std::unique_ptr<soak_link> store_link;
    std::unique_ptr<soak_link> upstream_link;
    std::unique_ptr<soak_link> peer_link;
    std::unique_ptr<soak_upstream> upstream;
    std::unique_ptr<soak_process> process;
};

soak_fleet::soak_fleet(soak_settings settings)
    : m_settings(std::move(settings)), m_random(m_settings.seed), m_store_address(free_address())
{
    m_store = std::make_unique<soak_store>(m_loop, m_store_address, std::mt19937_64(m_random()));
    store_plan();
    for (int index = 0; index < m_settings.daemons; ++index) {
        add_member(index);
    }
}

soak_fleet::~soak_fleet() = default;

void soak_fleet::add_member(int index)
{
    auto made = std::make_unique<member>();
    made->name = "d" + std::to_string(index);
    made->service = service_name(index);
    made->store_link = std::make_unique<soak_link>(m_loop, made->store_address, m_store_address);
    made->upstream_link =
        std::make_unique<soak_link>(m_loop, made->upstream_address, made->upstream_listen);
    made->peer_link = std::make_unique<soak_link>(m_loop, made->announced, made->peer);
    write_settings(*made);
    const auto path = m_settings.folder + '/' + made->name;
    const std::vector<std::string> arguments{"--settings", path + ".yaml", "--announce",
                                             made->announced};
    made->process = std::make_unique<soak_process>(m_settings.program, arguments, path + ".log");
    made->process->start();
    const soak_upstream::place where{made->name,    made->upstream_listen, made->upstream_address,
                                     made->control, made->service,         "dc"};
    made->upstream =
        std::make_unique<soak_upstream>(m_loop, m_history, where, std::mt19937_64(m_random()));
    m_members.push_back(std::move(made));
}

void soak_fleet::write_settings(const member& each) const
{
    std::ofstream file(m_settings.folder + '/' + each.name + ".yaml");
    file << "self: {node_name: " << each.name << ", ip: 127.0.0.1, zone: dc, region: r, limits: "
         << "{max_fds: 1000}, app_addr: \"" << each.upstream_address
         << "\", service: " << each.service << "}\n"
         << "network: {listen: {inbound: \"" << each.peer << "\", outbound: \"" << each.entry
         << "\", ready: \"" << each.ready << "\", control: \"" << each.control << "\"}}\n"
         << "platform: {platform: {address: \"" << each.store_address << "\"}}\n"
         << "terms: {bounds: {grace_period_s: 6, retry_budget_ratio: 0.2, budget_extra: 60}}\n";
}

// Each version adds routes and keeps those of the versions before.
void soak_fleet::store_plan()
{
    ++m_plan_version;
    nlohmann::json plan{{"version", m_plan_version}};
    for (std::uint64_t version = 1; version <= m_plan_version; ++version) {
        for (int index = 0; index < services; ++index) {
            for (const auto* const kind : {"safe", "unsafe"}) {
                const auto name =
                    std::string(kind) + '-' + std::to_string(version) + '-' + std::to_string(index);
                plan["routes"][name] = {{"host", "h"},
                                        {"prefix", '/' + name + '/'},
                                        {"kind", kind},
                                        {"timeout_ms", 5000},
                                        {"latency_goal_ms", 800},
                                        {"max_attempts", 2},
                                        {"service", service_name(index)}};
            }
            plan["services"][service_name(index)] = {{"health_path", "/health"}};
        }
    }
    m_plan_text = plan.dump();
    m_store->write(wire::operator_table, wire::plan_key, m_plan_text);
    m_history.plans[m_plan_version] = m_clock.steady_now();
}

const soak_history& soak_fleet::run()
{
    m_start = m_clock.steady_now();
    m_loop.after(warm_up, [this] {
        send_requests();
        inject();
    });
    m_loop.after(m_settings.length, [this] {
        m_is_ending = true;
        m_loop.after(quiet_end, [this] { m_loop.stop(); });
    });
    m_loop.run();
    return m_history;
}

void soak_fleet::send_requests()
{
    if (m_is_ending) {
        return;
    }
    send_request();
    const std::chrono::duration<double> pause(1 / m_settings.requests_per_second);
    m_loop.after(std::chrono::duration_cast<std::chrono::milliseconds>(pause),
                 [this] { send_requests(); });
}

void soak_fleet::send_request()
{
    const auto index = m_history.requests.size();
    auto& entry = *m_members[static_cast<std::size_t>(any(0, m_settings.daemons - 1))];
    soak_request sent;
    sent.id = "q" + std::to_string(index);
    sent.daemon = entry.name;
    sent.may_repeat = any(0, 1) == 0;
    sent.version = static_cast<std::uint64_t>(any(1, static_cast<int>(m_plan_version)));
    sent.is_new_route = true;
    sent.sent = m_clock.steady_now();
    sent.deadline = std::chrono::milliseconds(any(shortest_deadline_ms, longest_deadline_ms));
    m_history.requests.push_back(sent);
    client_request request;
    const std::string kind = sent.may_repeat ? "safe" : "unsafe";
    request.head.method = sent.may_repeat ? "GET" : "POST";
    request.head.target = '/' + kind + '-' + std::to_string(sent.version) + '-' +
                          std::to_string(any(0, services - 1)) + "/x";
    request.head.fields = {{"Host", "h"},
                           {wire::request_id, sent.id},
                           {wire::deadline_ms, std::to_string(sent.deadline.count())}};
    request.body = sent.may_repeat ? "" : "order " + sent.id;
    request.max_idle = 10s;
    auto body = std::make_shared<std::string>();
    client_hooks hooks;
    hooks.head = [this, index](const auto& head) {
        m_history.requests[index].status = head.status;
    };
    hooks.body = [body](std::string_view bytes) { body->append(bytes); };
    hooks.complete = [this, index, body] {
        auto& ended = m_history.requests[index];
        ended.has_ended = true;
        ended.ended = m_clock.steady_now();
        ended.is_own_answer = *body == soak_upstream::body_for(ended.id);
    };
    hooks.failed = [this, index](exchange_error) {
        auto& ended = m_history.requests[index];
        ended.has_ended = true;
        ended.ended = m_clock.steady_now();
        ended.status = 0;
    };
    m_calls.push_back(m_clients.send(entry.entry, std::move(request), std::move(hooks)));
}

void soak_fleet::inject()
{
    if (m_is_ending) {
        return;
    }
    if (any(0, 5) == 0) {
        disturb_store();
    }
    else {
        inject_on(*m_members[static_cast<std::size_t>(any(0, m_settings.daemons - 1))]);
    }
    m_loop.after(std::chrono::milliseconds(any(150, 900)), [this] { inject(); });
}

void soak_fleet::inject_on(member& each)
{
    const int kind = any(0, 4);
    switch (any(0, 5)) {
    case 0:
        disturb_process(each, kind);
        break;
    case 1:
        disturb_link(each, *each.store_link, kind);
        break;
    case 2:
        disturb_link(each, *each.upstream_link, kind);
        break;
    case 3:
        disturb_link(each, *each.peer_link, kind);
        break;
    case 4:
        step_clock(each);
        break;
    default:
        disturb_upstream(each, kind);
        break;
    }
}

void soak_fleet::disturb_process(member& each, int kind)
{
    const auto length = std::chrono::milliseconds(any(200, 2500));
    if (kind <= 1) {
        note("kill " + each.name);
        each.process->signal(SIGKILL);
        restart_when_ended(each, disturb(each.name, length));
    }
    else if (kind == 2) {
        note("pause " + each.name + " for " + std::to_string(length.count()) + " ms");
        disturb(each.name, length);
        each.process->signal(SIGSTOP);
        after(length, [&each] { each.process->signal(SIGCONT); });
    }
    else if (kind == 3) {
        note("reload " + each.name);
        each.process->signal(SIGHUP);
    }
    else {
        stop_and_start(each);
    }
}

void soak_fleet::stop_and_start(member& each)
{
    note("stop " + each.name);
    each.process->signal(SIGTERM);
    restart_when_ended(each, disturb(each.name, grace_period, true));
    after(grace_period, [&each] { each.process->signal(SIGCONT); });
}

// The platform starts a process again a moment after its end.
void soak_fleet::restart_when_ended(member& each, std::size_t disturbance)
{
    after(restart_delay, [this, &each, disturbance] {
        if (each.process->is_running()) {
            restart_when_ended(each, disturbance);
            return;
        }
        each.process->start();
        m_history.disturbances[disturbance].until = m_clock.steady_now() + restart_delay;
    });
}

void soak_fleet::disturb_link(member& each, soak_link& link, int kind)
{
    const auto length = std::chrono::milliseconds(any(200, 3000));
    const bool is_store = &link == each.store_link.get();
    const bool is_peers = &link == each.peer_link.get();
    const std::string name = is_store ? "store" : is_peers ? "peers" : "upstream";
    note(name + " link of " + each.name + " kind " + std::to_string(kind) + " for " +
         std::to_string(length.count()) + " ms");
    if (is_store) {
        disturb("store", length);
    }
    const bool is_cut = kind > 2;
    if (!is_peers || is_cut) {
        disturb(each.name + '/' + name, length);
    }
    if (kind == 0) {
        link.delay(std::chrono::milliseconds(any(20, 300)));
    }
    else if (kind == 1) {
        link.reset_all();
    }
    else if (kind == 2) {
        link.silence_open();
    }
    else {
        link.cut(kind == 3 ? soak_link::direction::forward : soak_link::direction::backward);
    }
    after(length, [&link] { link.heal(); });
}

// The daemon reads the step of its time of day from a file, see soak_daemon.cpp.
void soak_fleet::step_clock(const member& each)
{
    const int step_ms = any(-5000, 5000);
    note("clock of " + each.name + " steps by " + std::to_string(step_ms) + " ms");
    std::ofstream file(m_settings.folder + '/' + each.name + ".clock");
    file << step_ms << '\n';
}

void soak_fleet::disturb_store()
{
    const auto length = std::chrono::milliseconds(any(300, 2500));
    const int kind = any(0, 4);
    if (kind == 4) {
        restore_store();
        return;
    }
    if (kind == 3) {
        note("new plan " + std::to_string(m_plan_version + 1));
        store_plan();
        return;
    }
    note("store fault " + std::to_string(kind) + " for " + std::to_string(length.count()) + " ms");
    disturb("store", length);
    m_store->set_fault(kind == 0   ? soak_store::fault::refuses
                       : kind == 1 ? soak_store::fault::slow
                                   : soak_store::fault::loses_answers);
    after(length, [this] { m_store->set_fault(soak_store::fault::none); });
}

// The store is away for a moment and comes back from a copy; later the operators write their plan
// again.
void soak_fleet::restore_store()
{
    const auto age = copy_ages.at(static_cast<std::size_t>(any(0, 2)));
    const auto away = std::chrono::milliseconds(any(100, 1500));
    const auto rewrite = std::chrono::milliseconds(any(100, 1500));
    note("store away for " + std::to_string(away.count()) + " ms, back from a copy " +
         std::to_string(age.count()) + " ms old, plan written again after " +
         std::to_string(rewrite.count()) + " ms");
    if (any(0, 1) == 0) {
        note("new plan " + std::to_string(m_plan_version + 1));
        store_plan();
    }
    disturb("store", away);
    m_store->set_fault(soak_store::fault::refuses);
    after(away, [this, age, rewrite] {
        std::map<std::string, std::uint64_t> revisions;
        for (const auto& each : m_members) {
            revisions[each->name] = stored_revision(*each);
        }
        m_store->set_fault(soak_store::fault::none);
        const bool is_plan_lost = m_store->restore(age).has_value();
        check_rows_later(std::move(revisions));
        if (is_plan_lost) {
            after(rewrite,
                  [this] { m_store->write(wire::operator_table, wire::plan_key, m_plan_text); });
        }
    });
}

void soak_fleet::check_rows_later(std::map<std::string, std::uint64_t> revisions)
{
    const auto returned = m_clock.steady_now();
    after(soak_history::row_time, [this, returned, revisions = std::move(revisions)] {
        for (const auto& each : m_members) {
            const bool is_back = stored_revision(*each) >= revisions.at(each->name);
            m_history.rows.push_back({each->name, returned, m_clock.steady_now(), is_back});
        }
    });
}

// Returns 0 without a row.
std::uint64_t soak_fleet::stored_revision(const member& of) const
{
    const auto row =
        nlohmann::json::parse(m_store->value_of("galenaroad_owners", of.announced), nullptr, false);
    return row.is_object() ? row.value("revision", std::uint64_t{0}) : 0;
}

void soak_fleet::disturb_upstream(member& each, int kind)
{
    if (kind == 0) {
        note("upstream of " + each.name + " crashes");
        disturb(each.name + "/upstream", 0ms);
        each.upstream->crash();
        return;
    }
    if (kind == 1) {
        const bool drains = any(0, 1) == 0;
        note("upstream of " + each.name + (drains ? " drains" : " leaves"));
        disturb(each.name + "/upstream", grace_period);
        each.upstream->leave(drains);
        return;
    }
    const auto how = static_cast<soak_upstream::fault>(any(1, 4));
    note("upstream of " + each.name + " fault " + std::to_string(static_cast<int>(how)));
    each.upstream->set_fault(how);
    after(std::chrono::milliseconds(any(500, 3000)),
          [&each] { each.upstream->set_fault(soak_upstream::fault::none); });
}

std::size_t soak_fleet::disturb(const std::string& part, std::chrono::milliseconds length,
                                bool is_planned_stop)
{
    const auto now = m_clock.steady_now();
    m_history.disturbances.push_back({part, now, now + length, is_planned_stop});
    return m_history.disturbances.size() - 1;
}

void soak_fleet::note(const std::string& fault)
{
    const auto at =
        std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.steady_now() - m_start);
    m_faults.push_back(std::to_string(at.count()) + " ms: " + fault);
}

void soak_fleet::after(std::chrono::milliseconds delay, std::function<void()> action)
{
    m_loop.after(delay, std::move(action));
}

int soak_fleet::any(int least, int greatest)
{
    std::uniform_int_distribution<int> range(least, greatest);
    return range(m_random);
}

} // namespace galenaroad
