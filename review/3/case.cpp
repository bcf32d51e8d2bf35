// DRAIN: a daemon that starts again takes a late heartbeat of an upstream whose leaving the daemon
// has acknowledged before, writes `ready` over its own row, and sends new work to that upstream.
#include "stand_ins.h"

using namespace review;

namespace {

constexpr const char* plan = R"({"version":3,"routes":{
"belt-search":{"host":"shop.example","prefix":"/search/","service":"finder","kind":"safe",
 "timeout_ms":4000,"latency_goal_ms":2500,"max_attempts":2,"priority":2},
"order-place":{"host":"shop.example","prefix":"/orders/","service":"finder","kind":"unsafe",
 "timeout_ms":4000,"latency_goal_ms":2500,"max_attempts":2,"priority":1}},
"services":{"finder":{"health_path":"/health","max_connections":330},
 "orders":{"health_path":"/health","max_connections":330}},
"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":3000,
 "idle_timeout_ms":15000}})";

constexpr long drain_ms = 2000;
constexpr long contact_ms = 3000;
constexpr long deadline_ms = 4000;
constexpr long work_ms = 100;
constexpr long serves_ms = 8000; // After DELETE: "at times many seconds".

} // namespace

int main(int, char** arguments)
{
    record_file::get().open(arguments[1]);
    epoch();
    deployment fleet;
    fleet.platform.write("op", "config", plan);
    // Five upstreams of `finder`, of which one leaves.
    auto front = fleet.add("a1", "ash-a", "orders");
    auto leaving = fleet.add("b1", "ash-a", "finder");
    std::vector<machine> staying;
    for (int number = 2; number <= 5; ++number) {
        staying.push_back(fleet.add('b' + std::to_string(number), "ash-a", "finder"));
    }
    std::vector<machine*> machines{&front, &leaving};
    for (auto& each : staying) {
        machines.push_back(&each);
    }
    const auto decide = [](const message&, int) { return upstream::action{work_ms}; };
    upstream* beside_leaving = nullptr;
    for (auto* const each : machines) {
        fleet.start(*each, true);
        auto* const beside = new upstream; // Ends with the process.
        beside->start(*each, "i-" + each->name, 7, decide);
        beside_leaving = each == &leaving ? beside : beside_leaving;
    }
    deployment::await_ready(machines);
    sleep_ms(3000);
    usual_traffic usual;
    usual.start({machines.begin(), machines.end()},
                {{"POST", "/orders/1"}, {"GET", "/search/1"}}, deadline_ms);
    sleep_ms(2000);
    const auto late = beside_leaving->prepare_heartbeat();
    RECORD("i-b1: sends a heartbeat (`ready`), which is held up on its way");
    sleep_ms(200);
    const long acknowledged_at = beside_leaving->leave_at_once();
    sleep_ms(300);
    long started_at = acknowledged_at;
    if (has_trouble()) {
        RECORD("the daemon of b1 is killed");
        kill(leaving.process, SIGKILL);
        waitpid(leaving.process, nullptr, 0);
        sleep_ms(500);
        fleet.start(leaving, false);
        started_at = now_ms();
    }
    if (!beside_leaving->deliver_late(late, 3000)) {
        cannot_run("the late heartbeat reaches no daemon");
    }
    sleep_ms(acknowledged_at + serves_ms - now_ms());
    usual.stop();
    int late_arrivals = 0;
    for (const auto& each : beside_leaving->arrivals()) {
        const long after = each.at_ms - acknowledged_at;
        // Only machines in touch count: no kill or start in the last contact_ms.
        const bool counts = after > drain_ms && each.at_ms - started_at > contact_ms;
        late_arrivals += counts ? 1 : 0;
        if (after > 0) {
            RECORD("%s reached i-b1 %ld ms after DELETE was acknowledged%s", each.id.c_str(), after,
                   counts ? "" : " (not counted)");
        }
    }
    RECORD("DRAIN %s: %d requests", late_arrivals > 0 ? "is broken" : "holds", late_arrivals);
    leave(late_arrivals > 0 ? 1 : 0);
}
