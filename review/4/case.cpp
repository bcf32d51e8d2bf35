// DRAIN: a request whose answer was lost is sent again to the upstream beside the daemon, long
// after the daemon has acknowledged that this upstream is draining.
#include "stand_ins.h"

using namespace review;

namespace {

constexpr const char* plan = R"({"version":3,"routes":{
"belt-search":{"host":"shop.example","prefix":"/search/","service":"finder","kind":"safe",
 "timeout_ms":4000,"latency_goal_ms":2500,"max_attempts":2,"priority":2}},
"services":{"finder":{"health_path":"/health","max_connections":330},
 "orders":{"health_path":"/health","max_connections":330}},
"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":3000,
 "idle_timeout_ms":15000}})";

constexpr long drain_ms = 2000;
constexpr long deadline_ms = 4000;
// The site's belt-search takes 840 ms on average and 4,900 at most.
constexpr long work_ms = 3500;
constexpr long short_work_ms = 60;
constexpr long drains_after_ms = 1200;
constexpr double max_lost_share = 0.4; // x of `answer_lost` with `reset`.
constexpr long fault_ms = 4000;        // for_s of the same.

} // namespace

int main(int, char** arguments)
{
    record_file::get().open(arguments[1]);
    epoch();
    deployment fleet;
    fleet.platform.write("op", "config", plan);
    // Five upstreams of `finder`, of which one leaves: the one that gets the long request.
    std::vector<machine> made{fleet.add("a1", "ash-a", "orders")};
    for (int number = 1; number <= 5; ++number) {
        made.push_back(fleet.add('b' + std::to_string(number), "ash-a", "finder"));
    }
    std::vector<machine*> machines;
    for (auto& each : made) {
        machines.push_back(&each);
    }
    // The first long run on a kept connection; its answer is lost.
    std::mutex mutex;
    std::string id;
    std::vector<upstream*> finders;
    for (auto* const each : machines) {
        fleet.start(*each, true);
        auto* const beside = new upstream; // Ends with the process.
        beside->start(*each, "i-" + each->name, 7, [&](const message& request, int arrival) {
            if (request.target() != "/search/long") {
                return upstream::action{short_work_ms};
            }
            // A request is long at each upstream that gets it.
            const std::lock_guard<std::mutex> lock(mutex);
            const bool is_chosen = id.empty() && request.field("(connection)") == "kept";
            if (is_chosen) {
                id = request.field("X-Request-Id");
            }
            return upstream::action{arrival == 1 ? work_ms : short_work_ms,
                                    is_chosen && has_trouble()};
        });
        if (each->service == "finder") {
            finders.push_back(beside);
        }
    }
    deployment::await_ready(machines);
    sleep_ms(3000);
    usual_traffic usual;
    usual.start({machines.begin(), machines.end()}, {{"GET", "/search/short"}}, deadline_ms);
    sleep_ms(2500);
    const auto chosen = [&] {
        const std::lock_guard<std::mutex> lock(mutex);
        return id;
    };
    std::vector<std::thread> clients;
    for (int number = 1; number <= 5 && chosen().empty(); ++number) {
        clients.emplace_back([&, number] {
            request_from(*machines.front(), "GET", "/search/long",
                         "search-" + std::to_string(number), deadline_ms);
        });
        sleep_ms(60);
    }
    if (chosen().empty()) {
        cannot_run("no long request arrived on a kept connection");
    }
    sleep_ms(drains_after_ms - 60);
    upstream* leaving = nullptr;
    for (auto* const each : finders) {
        // A hedge of the same request may come to another one, but only later.
        leaving = each->arrivals(id).empty() ? leaving : each;
    }
    const long acknowledged_at = leaving->drain();
    for (auto& each : clients) {
        each.join();
    }
    usual.stop();
    sleep_ms(500);
    bool is_broken = false;
    for (const auto& each : leaving->arrivals(id)) {
        const long after = each.at_ms - acknowledged_at;
        RECORD("%s arrived %ld ms after the acknowledgement, on a %s connection", id.c_str(), after,
               each.on_used_connection ? "kept" : "new");
        is_broken = is_broken || after > drain_ms;
    }
    const long lost_at = leaving->arrivals(id).front().at_ms + work_ms;
    int answered = 0;
    for (auto* const each : finders) {
        answered += each->answered(lost_at - fault_ms, lost_at);
    }
    const int own = leaving->answered(lost_at - fault_ms, lost_at);
    RECORD("in the 4 s before the loss the leaving upstream gave %d sound answers, all five %d", own,
           answered);
    if (1.0 / (own + 1) > max_lost_share) {
        cannot_run("the share of lost answers is over that of the site");
    }
    RECORD("DRAIN %s", is_broken ? "is broken" : "holds");
    leave(is_broken ? 1 : 0);
}
