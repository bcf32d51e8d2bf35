// LOST: a daemon that has got SIGTERM takes a request that may run once at most, passes it on, and
// breaks it off while its upstream is at work.
#include "stand_ins.h"

using namespace review;

namespace {

constexpr const char* plan = R"({"version":3,"routes":{
"return-log":{"host":"shop.example","prefix":"/returns/","service":"returns","kind":"unsafe",
 "timeout_ms":4000,"latency_goal_ms":2000,"max_attempts":2,"priority":2},
"belt-search":{"host":"shop.example","prefix":"/search/","service":"finder","kind":"safe",
 "timeout_ms":4000,"latency_goal_ms":2500,"max_attempts":2,"priority":2}},
"services":{"returns":{"health_path":"/health","max_connections":330},
 "finder":{"health_path":"/health","max_connections":330}},
"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":3000,
 "idle_timeout_ms":15000}})";

constexpr long deadline_ms = 4000; // Of return-log on the site; its timeout_ms is the same.
constexpr long work_ms = 2600;     // The site's return-log takes 520 ms on average, 3,200 at most.
constexpr long sent_after_ms = 3080;
constexpr long usual_work_ms = 520;

/// The platform's question to each daemon of a zone, once a second.
class readiness {
public:
    explicit readiness(std::vector<machine*> zone) : m_zone(std::move(zone)) {}

    void ask()
    {
        for (const auto* const each : m_zone) {
            m_misses[each->name] = deployment::is_ready(*each) ? 0 : m_misses[each->name] + 1;
        }
    }

    /// @return whether the clients on a machine of the zone receive new work (PROTOCOL.md).
    bool gets_work(const machine& at)
    {
        int in = 0;
        for (const auto* const each : m_zone) {
            in += m_misses[each->name] < 2 ? 1 : 0;
        }
        const bool applies = in * 2 >= static_cast<int>(m_zone.size());
        return !applies || m_misses[at.name] < 2;
    }

private:
    std::vector<machine*> m_zone;
    std::map<std::string, int> m_misses;
};

} // namespace

int main(int, char** arguments)
{
    record_file::get().open(arguments[1]);
    epoch();
    deployment fleet;
    fleet.platform.write("op", "config", plan);
    auto a1 = fleet.add("a1", "ash-a", "finder");
    auto a2 = fleet.add("a2", "ash-a", "finder");
    auto a3 = fleet.add("a3", "ash-a", "finder");
    auto b1 = fleet.add("b1", "ash-b", "returns");
    for (auto* const each : {&a1, &a2, &a3, &b1}) {
        fleet.start(*each, true);
    }
    const auto decide = [](const message& request, int) {
        return upstream::action{request.target() == "/returns/long" ? work_ms : usual_work_ms, false};
    };
    // They end with the process, since their threads go on until then.
    auto* const beside_a1 = new upstream;
    auto* const beside_a2 = new upstream;
    auto* const beside_a3 = new upstream;
    auto* const beside_b1 = new upstream;
    beside_a1->start(a1, "i-a1", 7, decide);
    beside_a2->start(a2, "i-a2", 7, decide);
    beside_a3->start(a3, "i-a3", 7, decide);
    beside_b1->start(b1, "i-b1", 7, decide);
    deployment::await_ready({&a1, &a2, &a3, &b1});
    sleep_ms(3000);
    for (int count = 0; count < 3; ++count) {
        const auto answer = request_from(a1, "POST", "/returns/short",
                                         "warm-" + std::to_string(count), deadline_ms, "order");
        if (answer.status != 200) {
            cannot_run("the fleet doesn't serve before the disruption");
        }
    }
    readiness platform({&a1, &a2, &a3});
    platform.ask();
    usual_traffic usual;
    usual.start({&a1}, {{"POST", "/returns/short"}}, deadline_ms);
    sleep_ms(1000);
    const long stopped_at = now_ms();
    if (has_trouble()) {
        RECORD("SIGTERM to the daemons of a1 and a2");
        kill(a1.process, SIGTERM);
        kill(a2.process, SIGTERM);
    }
    for (int second = 1; second <= 3; ++second) {
        sleep_ms(stopped_at + second * 1000L - now_ms());
        platform.ask();
    }
    RECORD("clients at a1 receive new work: %s", platform.gets_work(a1) ? "yes" : "no");
    if (!platform.gets_work(a1)) {
        cannot_run("the platform sends no client to a1");
    }
    sleep_ms(stopped_at + sent_after_ms - now_ms());
    const std::string id = "return-1";
    const long sent_at = now_ms();
    const auto answer = request_from(a1, "POST", "/returns/long", id, deadline_ms, "return");
    usual.stop();
    sleep_ms(1500);
    const auto runs = beside_b1->arrivals(id);
    const long ended_at = beside_b1->run_ended(id);
    const long answered_after = answer.at_ms - sent_at;
    RECORD("%s was sent %ld ms after SIGTERM, ran %zu times, was answered %d after %ld ms; its run "
           "%s",
           id.c_str(), sent_at - stopped_at, runs.size(), answer.status, answered_after,
           ended_at < 0 ? "was dropped" : "ended by itself");
    const bool was_at_work = !runs.empty() && (ended_at < 0 || ended_at > answer.at_ms);
    const bool is_of_upstream = !answer.stamp.empty();
    // Not counted: the deadline or the route's timeout was reached.
    const bool is_broken = was_at_work && !is_of_upstream && answered_after < deadline_ms - 100;
    RECORD("LOST %s", is_broken ? "is broken" : "holds");
    leave(is_broken ? 1 : 0);
}
