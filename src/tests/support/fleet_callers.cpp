#include "tests/support/fleet_callers.h"

#include "tests/support/download_checksum.h"

namespace galenaroad {

namespace {

using namespace std::chrono_literals;

constexpr unsigned caller_count = 6;
constexpr unsigned calls_per_order = 3;
constexpr unsigned max_download_bytes = 300'000;
constexpr auto pause_between_calls = 5ms;
constexpr history_time call_deadline{1500};
/// Beyond the deadline and its allowance, so that a late response is seen as late.
constexpr std::chrono::seconds give_up{3};

std::string field(const nlohmann::json& document, const std::string& name)
{
    return document.is_object() && document.contains(name) && document[name].is_string()
               ? document[name].get<std::string>()
               : std::string();
}

void read_content(const test_answer& answer, call_event& call)
{
    if (call.kind == call_kind::download) {
        const auto sum = answer.headers.find("X-Content-Checksum");
        call.expected = sum == answer.headers.end() ? "a checksum" : sum->second;
        call.received = download_checksum(answer.body);
        return;
    }
    const bool is_search = call.kind == call_kind::search;
    call.received = field(answer.json(), is_search ? "query" : "idempotency_key");
}

} // namespace

fleet_callers::fleet_callers(const test_fleet& fleet, std::vector<std::string> daemons,
                             history_recorder& recorder)
    : m_fleet(fleet), m_daemons(std::move(daemons)), m_recorder(recorder)
{
}

void fleet_callers::start(unsigned seed)
{
    for (unsigned i = 0; i < caller_count; ++i) {
        m_threads.emplace_back([this, i, seed] {
            call_until_stopped(random_engine(seed * caller_count + i), std::to_string(i));
        });
    }
}

void fleet_callers::stop()
{
    m_stopping = true;
    for (auto& thread : m_threads) {
        thread.join();
    }
    m_threads.clear();
}

void fleet_callers::call_until_stopped(random_engine engine, const std::string& name)
{
    for (int serial = 0; !m_stopping; ++serial) {
        const auto id = name + "-" + std::to_string(serial);
        switch (engine() % 4) {
        case 0:
            download(engine, id);
            break;
        case 1:
            search(engine, id);
            break;
        default:
            order(engine, id);
        }
        std::this_thread::sleep_for(pause_between_calls);
    }
}

void fleet_callers::search(random_engine& engine, const std::string& id) const
{
    call_event call;
    call.daemon = any_daemon(engine);
    call.expected = id;
    send(call, {"GET", "/finder?q=" + id});
}

void fleet_callers::download(random_engine& engine, const std::string& id) const
{
    call_event call;
    call.kind = call_kind::download;
    call.daemon = any_daemon(engine);
    call.asked = 1 + engine() % max_download_bytes;
    send(call, {"GET", "/manuals/" + id + "?bytes=" + std::to_string(call.asked)});
}

void fleet_callers::order(random_engine& engine, const std::string& id) const
{
    call_event call;
    call.kind = call_kind::order;
    call.daemon = any_daemon(engine);
    call.key = key_for(engine, id, call.daemon);
    call.expected = call.key;
    test_request request{"POST", "/orders/" + id, "belt " + id};
    if (call.key.empty()) {
        send(call, request);
        return;
    }
    request.headers["Idempotency-Key"] = call.key;
    for (unsigned i = 0; i < calls_per_order; ++i) {
        send(call, request);
        call.daemon = any_daemon(engine);
    }
}

// A third of the orders have a caller's key, a third an issued one and a third none.
std::string fleet_callers::key_for(random_engine& engine, const std::string& id,
                                   const std::string& daemon) const
{
    switch (engine() % 3) {
    case 0:
        return "shop-" + id;
    case 1:
        return field(m_fleet.send(daemon, {"POST", "/v1/idempotency-keys", "", {}, give_up}).json(),
                     "key");
    default:
        return {};
    }
}

const std::string& fleet_callers::any_daemon(random_engine& engine) const
{
    return m_daemons[engine() % m_daemons.size()];
}

void fleet_callers::send(call_event call, test_request request) const
{
    call.deadline = call_deadline;
    request.headers["X-Request-Timeout-Ms"] = std::to_string(call.deadline.count());
    request.timeout = give_up;
    call.sent = m_recorder.now();
    const auto answer = m_fleet.send(call.daemon, request);
    call.ended = m_recorder.now();
    call.status = answer.status;
    call.has_head = !answer.headers.empty();
    call.body = answer.body.size();
    const auto id = answer.headers.find("X-Request-Id");
    call.request_id = id == answer.headers.end() ? "" : id->second;
    read_content(answer, call);
    if (answer.status >= 400) {
        call.error = field(answer.json(), "kind");
        call.run = field(answer.json(), "run");
    }
    m_recorder.record([&](fleet_history& history) { history.calls.push_back(call); });
}

} // namespace galenaroad
