#include "soak/soak_upstream.h"

#include "wire_names.h"

#include <nlohmann/json.hpp>

namespace galenaroad {

namespace {

using namespace std::chrono_literals;

constexpr auto beat_interval = 500ms;
constexpr auto serve_after_leaving = 2500ms;
constexpr int slots = 4;
constexpr std::size_t largest_body = 200'000;
constexpr double gray_share = 0.8;

} // namespace

soak_upstream::soak_upstream(event_loop& loop, soak_history& history, place where,
                             std::mt19937_64 random)
    : m_loop(loop), m_history(history), m_place(std::move(where)), m_random(random), m_client(loop)
{
    begin();
    beat();
}

soak_upstream::~soak_upstream()
{
    m_loop.cancel(m_beat_timer);
}

void soak_upstream::begin()
{
    m_id = "i-" + m_place.listen + '-' + std::to_string(++m_starts);
    m_sequence = 0;
    m_running = 0;
    m_is_leaving = false;
    m_has_left = false;
    m_born_ms = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                               m_loop.time().system_now().time_since_epoch())
                                               .count());
    m_server = std::make_unique<http_server>(m_loop, server_limits(),
                                             [this](const auto& client) { handle(client); });
    m_server->listen(m_place.listen);
}

void soak_upstream::crash()
{
    m_loop.after(0ms, [this] {
        m_server.reset();
        begin();
    });
}

void soak_upstream::leave(bool drains)
{
    if (m_is_leaving) {
        return;
    }
    m_is_leaving = true;
    m_has_left = !drains;
    send_beat(drains ? "PUT" : "DELETE");
    m_loop.after(serve_after_leaving, [this] { crash(); });
}

void soak_upstream::beat()
{
    if (!m_has_left) {
        send_beat("PUT");
    }
    m_beat_timer = m_loop.after(beat_interval, [this] { beat(); });
}

void soak_upstream::send_beat(const std::string& method)
{
    client_request request;
    request.head.method = method;
    request.head.target = wire::instances_path + m_id;
    request.head.fields = {{"Host", "control"}};
    request.max_idle = 5s;
    if (method == "PUT") {
        request.body = nlohmann::json{{"address", m_place.announced},
                                      {"born", m_born_ms},
                                      {"info",
                                       {{"service", m_place.service},
                                        {"version", "v1"},
                                        {"zone", m_place.data_centre},
                                        {"slots", slots}}},
                                      {"status",
                                       {{"state", m_is_leaving ? "draining" : "ready"},
                                        {"sequence", ++m_sequence},
                                        {"cold_left_ms", 0}}}}
                           .dump();
    }
    auto status = std::make_shared<int>(0);
    client_hooks hooks;
    hooks.head = [status](const auto& head) { *status = head.status; };
    hooks.body = [](std::string_view) {};
    hooks.complete = [this, status, id = m_id, leaves = m_is_leaving] {
        if (leaves && *status == 200) {
            m_history.departures.emplace(id, m_loop.time().steady_now());
        }
    };
    hooks.failed = [](exchange_error) {};
    m_beat = m_client.send(m_place.control, std::move(request), std::move(hooks));
}

void soak_upstream::handle(const std::shared_ptr<server_exchange>& client)
{
    const auto& fields = client->head().fields;
    const auto expected = http_head::find(fields, wire::expect_instance).value_or(m_id);
    const bool is_other = expected != m_id;
    if (is_other || m_running >= slots) {
        http_response_head head;
        head.status = is_other ? 421 : 503;
        head.fields = {{wire::not_executed, "1"},
                       {wire::response_stamp, "s"},
                       {wire::request_id,
                        std::string(http_head::find(fields, wire::request_id).value_or(""))}};
        client->respond(std::move(head), {});
        return;
    }
    const std::string id(http_head::find(fields, wire::request_id).value_or(""));
    const auto run = m_history.runs.size();
    soak_run started;
    started.request = id;
    started.upstream = m_id;
    started.owner = m_place.owner;
    started.started = m_loop.time().steady_now();
    m_history.runs.push_back(started);
    ++m_running;
    m_loop.after(work_time(), [this, client, id, run] { answer(client, id, run); });
}

std::chrono::milliseconds soak_upstream::work_time()
{
    std::uniform_int_distribution<int> any(2, 60);
    const std::chrono::milliseconds usual(any(m_random));
    return m_fault == fault::slow ? usual * 10 : usual;
}

void soak_upstream::answer(const std::shared_ptr<server_exchange>& client, const std::string& id,
                           std::size_t run)
{
    m_running = std::max(m_running - 1, 0);
    std::uniform_real_distribution<double> any(0, 1);
    const bool fails = any(m_random) < gray_share;
    if (m_fault == fault::hangs && fails) {
        return;
    }
    if (m_fault == fault::resets && fails) {
        client->abort();
        return;
    }
    http_response_head head;
    head.status = m_fault == fault::errors && fails ? 500 : 200;
    head.fields = {{wire::response_stamp, "s"}, {wire::request_id, id}};
    auto& ended = m_history.runs[run];
    ended.answered = true;
    ended.succeeded = head.status == 200;
    ended.answered_at = m_loop.time().steady_now();
    client->respond(std::move(head), body_for(id));
}

std::string soak_upstream::body_for(const std::string& id)
{
    const auto size = std::hash<std::string>()(id) % largest_body;
    std::string body = "answer to " + id + '\n';
    body.append(size % 10 == 0 ? size : size % 3000, 'x');
    return body;
}

} // namespace galenaroad
