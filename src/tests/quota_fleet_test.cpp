#include "experiment/quota_fleet.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace galenaroad;
using namespace std::chrono_literals;

namespace {

constexpr quota_tolerance tolerance{5000ms, 0.1, 20};
const std::string account = "acme";

/// Sends requests of one account to random running daemons.
struct account_load {
    simulated_loop& loop;
    quota_fleet& fleet;
    random_engine random;
    double run_share = 1; ///< Share of the admitted requests that run.
    std::map<quota_verdict::decision, int> counts;
    std::vector<std::chrono::milliseconds> retries;

    void start(double rate, std::chrono::nanoseconds length)
    {
        const auto end = loop.steady_now() + length;
        loop.after(next_gap(rate), [this, rate, end] { send(rate, end); });
    }

    int granted() { return counts[quota_verdict::decision::granted]; }
    int over_quota() { return counts[quota_verdict::decision::over_quota]; }
    int not_known() { return counts[quota_verdict::decision::not_known]; }

private:
    std::chrono::nanoseconds next_gap(double rate)
    {
        const std::chrono::duration<double> gap(std::exponential_distribution<>(rate)(random));
        return std::chrono::duration_cast<std::chrono::nanoseconds>(gap);
    }

    void send(double rate, steady_time end)
    {
        if (loop.steady_now() > end) {
            return;
        }
        const auto daemon = std::uniform_int_distribution<std::size_t>(0, fleet.size() - 1)(random);
        const bool does_run = std::uniform_real_distribution<>(0, 1)(random) < run_share;
        if (fleet.is_running(daemon)) {
            fleet.request(daemon, account, does_run, [this](const auto& verdict) {
                ++counts[verdict.value];
                if (verdict.value != quota_verdict::decision::granted) {
                    retries.push_back(verdict.retry_after);
                }
            });
        }
        loop.after(next_gap(rate), [this, rate, end] { send(rate, end); });
    }
};

/// A fleet with one account, after its daemons have started.
struct test_fleet {
    simulated_loop loop;
    account_quota quota;
    quota_fleet fleet;
    account_load load;

    explicit test_fleet(account_quota limit, std::size_t daemons = 10, std::uint64_t seed = 1,
                        double loss = 0)
        : test_fleet(limit, settings(daemons, seed, loss))
    {
    }

    test_fleet(account_quota limit, const quota_fleet_settings& settings)
        : quota(limit), fleet(loop, settings), load{loop, fleet, random_engine(settings.seed),
                                                    1,    {},    {}}
    {
        fleet.set_quota(account, quota);
        loop.run_for(10s);
    }

    static quota_fleet_settings settings(std::size_t daemons, std::uint64_t seed, double loss)
    {
        quota_fleet_settings result;
        result.daemons = daemons;
        result.tolerance = tolerance;
        result.seed = seed;
        result.loss = loss;
        return result;
    }

    double excess() const { return fleet.worst_excess(account, quota); }
};

/// Something that happens to a fleet.
struct fault {
    int kind = 0;
    std::size_t daemon = 0;
    int at_ms = 0;
    int length_ms = 0;
};

void schedule(test_fleet& test, const fault& each)
{
    auto& fleet = test.fleet;
    // Half of the faults hit those that rank first for the account.
    const auto ranked = fleet.ranked(account);
    const auto daemon = each.daemon % 2 == 0 ? ranked[each.daemon / 2 % 3 % ranked.size()]
                                             : each.daemon % fleet.size();
    const auto length = std::chrono::milliseconds(each.length_ms);
    auto& loop = test.loop;
    loop.after(std::chrono::milliseconds(each.at_ms), [&loop, &fleet, each, daemon, length] {
        switch (each.kind) {
        case 0: // The process is killed, and started again.
            fleet.kill(daemon);
            loop.after(length, [&fleet, daemon] {
                if (!fleet.is_running(daemon)) {
                    fleet.start(daemon);
                }
            });
            break;
        case 1:
            fleet.suspend(daemon, length);
            break;
        case 2: // It is cut off with another third of the fleet.
            for (auto other = daemon % 3; other < fleet.size(); other += 3) {
                fleet.set_side(other, 1);
            }
            loop.after(length, [&fleet] {
                for (std::size_t other = 0; other < fleet.size(); ++other) {
                    fleet.set_side(other, 0);
                }
            });
            break;
        case 3: // All are killed at once.
            for (std::size_t other = 0; other < fleet.size(); ++other) {
                fleet.kill(other);
            }
            for (std::size_t other = 0; other < fleet.size(); ++other) {
                loop.after(length / 10 * (other % 5), [&fleet, other] {
                    if (!fleet.is_running(other)) {
                        fleet.start(other);
                    }
                });
            }
            break;
        case 4:
            fleet.add();
            break;
        default:
            fleet.remove(daemon);
            break;
        }
    });
}

} // namespace

TEST_CASE("quota_fleet: in no history do more requests run than the tolerance allows", "[quota]")
{
    // Guards against two holders of one account, and against state that a restart makes better than
    // it was. It failed with each of these on purpose: a deputy that grants in full, silence taken
    // for an end, no start time, a long absence time, a start with full buckets.
    CHECK(rc::check("bound", [] {
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        const auto rate = *rc::gen::element(1.0, 20.0, 160.0);
        const auto load_factor = *rc::gen::element(0.8, 1.5, 6.0);
        const auto loss = *rc::gen::element(0.0, 0.03, 0.3);
        const auto run_share = *rc::gen::element(1.0, 0.6);
        const auto faults = *rc::gen::container<std::vector<fault>>(rc::gen::build<fault>(
            rc::gen::set(&fault::kind, rc::gen::inRange(0, 6)),
            rc::gen::set(&fault::daemon, rc::gen::inRange<std::size_t>(0, 40)),
            rc::gen::set(&fault::at_ms, rc::gen::inRange(0, 10000)),
            rc::gen::set(&fault::length_ms, rc::gen::inRange(50, 6000))));
        test_fleet test({rate, rate}, 12, seed, loss);
        test.load.run_share = run_share;
        for (const auto& each : faults) {
            schedule(test, each);
        }
        test.load.start(rate * load_factor, 16s);
        test.loop.run_for(20s);
        RC_ASSERT(test.excess() <= 0);
    }));
}

TEST_CASE("quota_fleet: what is within the quota is not refused", "[quota]")
{
    // Guards against daemons that each get too small a share of the quota.
    const auto rate = GENERATE(1.0, 20.0, 160.0);
    test_fleet test({rate, rate}, 74);
    test.load.start(rate / 1.6, 60s);
    test.loop.run_for(62s);
    const auto sent = test.load.granted() + test.load.over_quota() + test.load.not_known();
    CHECK(test.load.not_known() == 0);
    // An account with one token at a time is refused when two requests come together.
    CHECK(test.load.over_quota() <= (rate > 1 ? 0 : sent / 2));
}

TEST_CASE("quota_fleet: an account at its limit gets what it is entitled to", "[quota]")
{
    // Guards against refusals on the entry that leave tokens unused.
    test_fleet test({160, 160}, 74);
    test.load.start(750, 10s);
    test.loop.run_for(11s);
    CHECK(test.load.granted() >= 0.95 * (160 * 10 + 160));
    CHECK(test.load.granted() <= 160 * 10.5 + 160);
    CHECK(test.excess() <= 0);
}

TEST_CASE("quota_fleet: refused requests are told different times", "[quota]")
{
    // Guards against clients that all come back at the same moment.
    test_fleet test({20, 20}, 10);
    test.load.start(200, 3s);
    test.loop.run_for(5s);
    auto retries = test.load.retries;
    REQUIRE(retries.size() > 200);
    std::sort(retries.begin(), retries.end());
    const auto spread = retries[retries.size() * 9 / 10] - retries[retries.size() / 10];
    CHECK(spread > 300ms);
    CHECK(retries.back() <= 20s);
}

TEST_CASE("quota_fleet: the next daemon takes the place of a holder that has ended", "[quota]")
{
    // Guards against an account that is refused until its holder runs again.
    test_fleet test({160, 160}, 74);
    test.load.start(400, 20s);
    test.loop.run_for(5s);
    test.fleet.kill(test.fleet.holder_of(account));
    test.loop.run_for(2s);
    const int before = test.load.granted();
    test.loop.run_for(5s);
    CHECK(test.load.granted() - before >= 0.9 * 160 * 5);
    test.fleet.start(test.fleet.holder_of(account));
    const int after_start = test.load.granted();
    test.loop.run_for(5s);
    CHECK(test.load.granted() - after_start >= 0.7 * 160 * 5);
    CHECK(test.excess() <= 0);
}

TEST_CASE("quota_fleet: while a holder is silent its accounts get a part of the tolerance",
          "[quota]")
{
    // Guards against a second holder beside one that goes on for a part of the fleet, and against
    // small accounts that are refused because of it.
    const bool is_cut_off = GENERATE(true, false);
    const double rate = GENERATE(1.0, 160.0);
    test_fleet test({rate, rate}, 74);
    const auto holder = test.fleet.holder_of(account);
    if (is_cut_off) {
        for (std::size_t each = 0; each < 12; ++each) {
            test.fleet.set_side((holder + each) % 74, 1);
        }
    }
    else {
        test.fleet.suspend(holder, 6s);
    }
    test.load.start(rate > 1 ? rate * 5 : rate / 1.6, 6s);
    test.loop.run_for(6s);
    CHECK(test.load.granted() >= (rate > 1 ? 30 : 2));
    test.loop.run_for(6s);
    CHECK(test.excess() <= 0);
}

TEST_CASE("quota_fleet: entries that have lost only the path to a holder ask it by another daemon",
          "[quota]")
{
    // Guards against refusals of large accounts on a day in which three in ten paths of nine
    // instances were lost: 91 requests of kayal-gallery-grown got 503.
    test_fleet test({160, 160}, 74);
    const auto holder = test.fleet.holder_of(account);
    const auto next = test.fleet.ranked(account)[1];
    for (std::size_t each = 0; each < 74; each += 3) {
        if (each != holder && each != next) {
            test.fleet.lose_path(each, holder);
        }
        if (each % 2 == 0 && each != next) {
            test.fleet.lose_path(each, next);
        }
    }
    test.load.start(100, 10s);
    test.loop.run_for(12s);
    CHECK(test.load.not_known() == 0);
    CHECK(test.load.over_quota() == 0);
    CHECK(test.excess() <= 0);
}

TEST_CASE("quota_fleet: daemons that are cut off one by one, by refused connections", "[quota]")
{
    // Guards against daemons that take the place of all others because the network refuses their
    // connections.
    auto settings = test_fleet::settings(12, 1, 0);
    settings.cuts_refuse = true;
    test_fleet test({160, 160}, settings);
    test.load.start(750, 10s);
    test.loop.run_for(3s);
    int side = 0;
    for (const auto daemon : test.fleet.ranked(account)) {
        test.fleet.set_side(daemon, ++side);
    }
    test.loop.run_for(6s);
    CHECK(test.excess() <= 0);
}

TEST_CASE("quota_fleet: all daemons are killed while an account is at its limit", "[quota]")
{
    // Guards against daemons that start with full buckets, and against an account that stays
    // refused after the start.
    test_fleet test({160, 160}, 74);
    test.load.start(600, 12s);
    test.loop.run_for(3s);
    for (std::size_t each = 0; each < 74; ++each) {
        test.fleet.kill(each);
    }
    test.loop.run_for(500ms);
    for (std::size_t each = 0; each < 74; ++each) {
        test.fleet.start(each);
    }
    test.loop.run_for(2s);
    const int before = test.load.granted();
    test.loop.run_for(4s);
    CHECK(test.load.granted() - before >= 0.9 * 160 * 4);
    CHECK(test.excess() <= 0);
}

TEST_CASE("quota_fleet: a limit that is lowered binds at once, and one that is raised is used",
          "[quota]")
{
    // Guards against tokens of the earlier limit that are used later.
    test_fleet test({160, 160}, 74);
    test.load.start(400, 20s);
    test.loop.run_for(5s);
    test.fleet.set_quota(account, {10, 10});
    test.loop.run_for(1s);
    const int before = test.load.granted();
    test.loop.run_for(5s);
    CHECK(test.load.granted() - before <= 10 * 5 + 10);
    CHECK(test.load.granted() - before >= 40);
    test.fleet.set_quota(account, {160, 160});
    test.loop.run_for(1s);
    const int raised = test.load.granted();
    test.loop.run_for(5s);
    CHECK(test.load.granted() - raised >= 0.9 * 160 * 5);
}

TEST_CASE("quota_fleet: tokens of requests that did not run come back", "[quota]")
{
    // Guards against an account whose retries of refused requests use up its quota.
    test_fleet test({20, 20}, 10);
    test.load.run_share = 0.3;
    test.load.start(50, 20s);
    test.loop.run_for(25s);
    CHECK(test.fleet.runs(account).size() >= 0.85 * 50 * 0.3 * 20);
    CHECK(test.load.over_quota() < 0.15 * 50 * 20);
}

TEST_CASE("quota_fleet: daemons are added and the others learn of them late", "[quota]")
{
    // Guards against two holders of an account: an added daemon took itself for the holder one
    // second after it had joined, while the earlier holder learned of it up to two seconds later.
    const auto seed = GENERATE(range(1U, 9U));
    const auto loss = GENERATE(0.0, 0.3);
    auto settings = test_fleet::settings(8, seed, loss);
    settings.max_record_delay = 2100ms;
    test_fleet test({160, 160}, settings);
    test.load.start(640, 20s);
    test.loop.run_for(3s);
    for (int added = 0; added < 6; ++added) {
        test.fleet.add();
        test.loop.run_for(500ms);
    }
    test.loop.run_for(15s);
    INFO("seed " << seed << ", loss " << loss);
    CHECK(test.excess() <= 0);
    CHECK(test.load.granted() >= (loss > 0 ? 0.5 : 0.8) * 160 * 20);
}

TEST_CASE("quota_fleet: a new account and an added daemon", "[quota]")
{
    // Guards against accounts that a new daemon does not know, and against a change of holders that
    // doubles a quota.
    test_fleet test({160, 160}, 10);
    test.load.start(400, 20s);
    for (int added = 0; added < 20; ++added) {
        test.loop.run_for(700ms);
        test.fleet.add();
    }
    test.loop.run_for(8s);
    CHECK(test.load.granted() >= 0.8 * 160 * 20);
    CHECK(test.excess() <= 0);
}
