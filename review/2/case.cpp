// LOST: a daemon keeps the whole body of a rejection in memory, however long it is. It exceeds its
// memory and is killed, and with it go the requests that sound upstreams are running for it.
#include "stand_ins.h"

using namespace review;

namespace {

constexpr const char* plan = R"({"version":3,"routes":{
"order-place":{"host":"shop.example","prefix":"/orders/","service":"orders","kind":"unsafe",
 "timeout_ms":4000,"latency_goal_ms":2500,"max_attempts":2,"priority":1},
"return-log":{"host":"shop.example","prefix":"/returns/","service":"returns","kind":"unsafe",
 "timeout_ms":4000,"latency_goal_ms":2000,"max_attempts":2,"priority":2}},
"services":{"finder":{"health_path":"/health","max_connections":330},
 "orders":{"health_path":"/health","max_connections":330},
 "manuals":{"health_path":"/health","max_connections":330},
 "returns":{"health_path":"/health","max_connections":330}},
"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":3000,
 "idle_timeout_ms":15000}})";

constexpr long deadline_ms = 4000;
constexpr long work_ms = 3400; // order-place takes 640 ms on average and 4,600 at most.
constexpr int clients = 5;
constexpr long return_work_ms = 100;
// `garble` with `unframed`: x = 0.05, for 5 s, of which the faulty answer itself takes about 1.2.
constexpr double max_garbled_share = 0.05;
constexpr int answers_before = 19;
constexpr long before_ms = 3600;
constexpr long fault_ms = 5000;
constexpr long memory_kb = 260L * 1024;
constexpr std::size_t piece_bytes = 64 * 1024;
constexpr long bytes_per_ms = 120 * 1000; // 960 Mbit/s; a machine's link has 1,000.

/// @return the most memory that a process has held, in KiB.
long resident_kb(pid_t process)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/status");
    std::string line;
    while (std::getline(file, line)) {
        if (line.rfind("VmHWM:", 0) == 0) {
            return std::atol(line.c_str() + 6);
        }
    }
    return 0;
}

/// Sends a request on a kept connection. @return the status, or 0.
int ask(connection& kept, const std::string& id, const std::string& target)
{
    RECORD("client at a1: sends %s (POST %s) on a kept connection", id.c_str(), target.c_str());
    message response;
    const bool is_read =
        kept.send_all("POST " + target + " HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + id +
                      "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) +
                      "\r\nContent-Length: 5\r\n\r\norder") &&
        kept.read(response, deadline_ms + 1000);
    RECORD("client at a1: %s gets %d, stamp %s", id.c_str(), is_read ? response.status() : 0,
           is_read && !response.field("X-Response-Stamp").empty() ? "there" : "none");
    return is_read ? response.status() : 0;
}

/// The faulty answer: a rejection without a length. With trouble, bytes that belong to nothing follow
/// until the caller closes; without, the connection ends.
void reject(connection& client, const std::string& id)
{
    RECORD("the faulty upstream rejects %s with 503 and X-Not-Executed, without a length", id.c_str());
    client.send_all("HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: " + id +
                    "\r\nX-Not-Executed: 1\r\n\r\n");
    if (!has_trouble()) {
        return;
    }
    const std::string piece(piece_bytes, 'x');
    const long first = now_ms();
    long bytes = 0;
    while (now_ms() - first < deadline_ms && client.send_all(piece)) {
        bytes += static_cast<long>(piece.size());
        sleep_ms(first + bytes / bytes_per_ms - now_ms());
    }
    RECORD("the faulty upstream sent %ld more bytes in %ld ms", bytes, now_ms() - first);
}

} // namespace

int main(int, char** arguments)
{
    record_file::get().open(arguments[1]);
    epoch();
    deployment fleet;
    fleet.platform.write("op", "config", plan);
    auto a1 = fleet.add("a1", "ash-a", "finder");
    auto b1 = fleet.add("b1", "ash-a", "orders");
    auto c1 = fleet.add("c1", "ash-a", "returns");
    auto c2 = fleet.add("c2", "ash-a", "returns");
    auto d1 = fleet.add("d1", "ash-a", "manuals");
    auto d2 = fleet.add("d2", "ash-a", "manuals");
    const std::vector<machine*> machines{&a1, &b1, &c1, &c2, &d1, &d2};
    std::atomic<bool> is_due{false};
    std::atomic<long> rejected_at{0};
    upstream* beside_b1 = nullptr;
    std::atomic<upstream*> faulty{nullptr}; ///< One of the two of `returns`.
    for (auto* const each : machines) {
        fleet.start(*each, true);
        auto* const beside = new upstream; // Ends with the process.
        beside_b1 = each == &b1 ? beside : beside_b1;
        const bool may_be_faulty = each == &c1 || each == &c2;
        beside->start(*each, "i-" + each->name, 7, [&, beside, may_be_faulty](const message& request, int) {
            if (request.target() == "/orders/long") {
                return upstream::action{work_ms};
            }
            // The next request of a client at a1, the only machine of `finder`, is rejected, as soon
            // as enough others were answered soundly.
            const long now = now_ms();
            if (may_be_faulty && is_due && request.field("X-Caller-Service") == "finder" &&
                beside->answered(now - before_ms, now) >= answers_before &&
                is_due.exchange(false)) {
                faulty = beside;
                rejected_at = now;
                return upstream::action{0, false, reject};
            }
            return upstream::action{return_work_ms};
        });
    }
    deployment::await_ready(machines);
    sleep_ms(3000);
    // The platform: "A process that exceeds `memory_mb` is killed."
    std::atomic<long> peak_kb{0};
    std::atomic<bool> is_killed{false};
    std::thread([&] {
        while (!is_killed) {
            const long held = resident_kb(a1.process);
            peak_kb = std::max(peak_kb.load(), held);
            if (held > memory_kb) {
                RECORD("the daemon of a1 holds %ld MB, more than its 260 MB: it is killed",
                       held / 1024);
                kill(a1.process, SIGKILL);
                is_killed = true;
            }
            sleep_ms(10);
        }
    }).detach();
    usual_traffic usual;
    usual.start({machines.begin(), machines.end()}, {{"POST", "/returns/1"}}, deadline_ms);
    sleep_ms(4000);
    std::atomic<int> unanswered{0};
    std::vector<std::thread> callers;
    for (int count = 0; count < clients; ++count) {
        callers.emplace_back([&, count] {
            connection kept(connect_to(a1.outbound));
            if (ask(kept, "order-" + std::to_string(count) + "a", "/orders/short") != 200) {
                cannot_run("the fleet doesn't serve before the disruption");
            }
            while (rejected_at == 0) {
                sleep_ms(5);
            }
            sleep_ms(count * 200);
            const auto id = "order-" + std::to_string(count) + "b";
            const bool is_cut = ask(kept, id, "/orders/long") == 0;
            unanswered += is_cut && !beside_b1->arrivals(id).empty() ? 1 : 0;
        });
    }
    sleep_ms(500);
    is_due = true;
    const long until = now_ms() + 12000; // The kept connections stay open for 15 s.
    while (rejected_at == 0) {
        if (now_ms() > until) {
            cannot_run("no request was due for the faulty answer");
        }
        sleep_ms(5);
    }
    for (auto& each : callers) {
        each.join();
    }
    usual.stop();
    const int sound =
        faulty.load()->answered(rejected_at - before_ms, rejected_at - before_ms + fault_ms);
    RECORD("the faulty upstream gave 1 faulty answer and %d sound ones in the 5 s around it", sound);
    if (1.0 / (sound + 1) > max_garbled_share) {
        cannot_run("the share of faulty answers is over that of the site");
    }
    RECORD("the daemon of a1 held %ld MB at most; %d requests of kept connections were passed on to "
           "the sound upstream i-b1 and got no answer",
           peak_kb.load() / 1024, unanswered.load());
    const bool is_broken = unanswered > 3;
    RECORD("LOST %s", is_broken ? "is broken" : "holds");
    leave(is_broken ? 1 : 0);
}
