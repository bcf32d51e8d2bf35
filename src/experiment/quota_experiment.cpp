#include "experiment/quota_fleet.h"

#include <algorithm>
#include <cmath>
#include <cxxopts.hpp>
#include <iomanip>
#include <iostream>
#include <set>

namespace {

using namespace galenaroad;
using namespace std::chrono_literals;

/// A day: all accounts send their usual, then twice of it, and one of them several times.
constexpr auto calm_time = 10s;
constexpr auto hot_time = 8s;
constexpr auto after_time = 4s;
constexpr double requests_per_daemon = 5.6;
constexpr double quota_factor = 1.6;
constexpr double zipf_exponent = 1.2;
constexpr double hot_factor = 7.5;
constexpr double busy_factor = 2;
constexpr std::size_t hot_account = 2;
constexpr quota_tolerance tolerance{5000ms, 0.1, 20};

/// One request of the day, the same for all designs.
struct arrival {
    std::chrono::nanoseconds at;
    std::size_t daemon;
    std::size_t account;
};

struct workload {
    std::size_t daemons = 0;
    std::vector<double> usual; ///< Requests per second by account.
    std::vector<arrival> arrivals;

    account_quota quota(std::size_t account) const
    {
        return {usual[account] * quota_factor, usual[account] * quota_factor};
    }
};

workload make_workload(std::size_t daemons, std::size_t accounts, std::uint64_t seed)
{
    workload result;
    result.daemons = daemons;
    double sum = 0;
    for (std::size_t each = 0; each < accounts; ++each) {
        result.usual.push_back(std::pow(static_cast<double>(each + 1), -zipf_exponent));
        sum += result.usual.back();
    }
    for (auto& rate : result.usual) {
        rate *= requests_per_daemon * static_cast<double>(daemons) / sum;
    }
    random_engine random(seed);
    std::uniform_int_distribution<std::size_t> any_daemon(0, daemons - 1);
    for (std::size_t account = 0; account < accounts; ++account) {
        const auto add = [&](std::chrono::duration<double> from, std::chrono::duration<double> to,
                             double rate) {
            std::exponential_distribution<> gap(rate);
            for (auto at = from.count() + gap(random); at < to.count(); at += gap(random)) {
                const std::chrono::duration<double> time(at);
                result.arrivals.push_back(
                    {std::chrono::duration_cast<std::chrono::nanoseconds>(time), any_daemon(random),
                     account});
            }
        };
        const double usual = result.usual[account];
        add(0s, calm_time, usual);
        add(calm_time, calm_time + hot_time,
            usual * (account == hot_account ? hot_factor : busy_factor));
        add(calm_time + hot_time, calm_time + hot_time + after_time, usual);
    }
    std::sort(result.arrivals.begin(), result.arrivals.end(),
              [](const arrival& a, const arrival& b) { return a.at < b.at; });
    return result;
}

/// What a design did with a workload.
struct result {
    double over = 0;       ///< Most requests beyond a quota in a window, as share of the quota.
    double under = 0;      ///< Share of the requests refused that one exact bucket admits.
    double calm_under = 0; ///< The same while all send their usual.
    quota_traffic traffic;
};

/// Admission times by account, and whether each arrival was admitted.
struct admissions {
    std::vector<std::vector<steady_time>> times;
    std::vector<bool> is_admitted;
};

/// Decides at once, without messages.
using local_decision = std::function<bool(const arrival&, steady_time)>;

admissions decide(const workload& work, const local_decision& decision)
{
    admissions result{std::vector<std::vector<steady_time>>(work.usual.size()), {}};
    for (const auto& each : work.arrivals) {
        const steady_time now = steady_time(1h) + each.at;
        result.is_admitted.push_back(decision(each, now));
        if (result.is_admitted.back()) {
            result.times[each.account].push_back(now);
        }
    }
    return result;
}

/// Buckets of one daemon or of all.
class buckets {
public:
    explicit buckets(const workload& work) : m_work(work) {}

    bool take(std::size_t daemon, std::size_t account, double share, steady_time now)
    {
        auto quota = m_work.quota(account);
        quota.rate *= share;
        quota.burst *= share;
        auto& bucket = m_buckets.try_emplace({daemon, account}, steady_time()).first->second;
        bucket.update(quota, now);
        return bucket.take(1) == 1;
    }

private:
    const workload& m_work;
    std::map<std::pair<std::size_t, std::size_t>, token_bucket> m_buckets;
};

/// Shares that follow the demand: each second each daemon reports its demand of each account to the
/// account's holder, which divides the quota in proportion.
class demand_shares {
public:
    demand_shares(const workload& work, quota_traffic& traffic)
        : m_work(work), m_buckets(work), m_traffic(traffic)
    {
    }

    bool decide(const arrival& request, steady_time now)
    {
        while (now >= m_next_report) {
            report();
            m_next_report += 1s;
        }
        m_demand[{request.account, request.daemon}] += 1;
        const auto found = m_shares.find({request.account, request.daemon});
        const double equal = 1 / static_cast<double>(m_work.daemons);
        const double share = found == m_shares.end() ? equal : std::max(found->second, equal);
        return m_buckets.take(request.daemon, request.account, share, now);
    }

private:
    void report()
    {
        constexpr std::uint64_t message_bytes = 50; // Two, as large as a question and its answer.
        std::map<std::size_t, double> sums;
        for (const auto& [key, demand] : m_demand) {
            sums[key.first] += demand;
        }
        m_shares.clear();
        for (const auto& [key, demand] : m_demand) {
            m_shares[key] = demand / sums[key.first];
            m_traffic.messages += 2;
            m_traffic.bytes += 2 * message_bytes;
        }
        m_demand.clear();
    }

    const workload& m_work;
    buckets m_buckets;
    quota_traffic& m_traffic;
    std::map<std::pair<std::size_t, std::size_t>, double> m_demand;
    std::map<std::pair<std::size_t, std::size_t>, double> m_shares;
    steady_time m_next_report = steady_time(1h) + 1s;
};

/// Runs the product's decisions.
admissions run_holders(const workload& work, double loss, quota_traffic& traffic)
{
    simulated_loop loop;
    quota_fleet_settings settings;
    settings.daemons = work.daemons;
    settings.tolerance = tolerance;
    settings.shares_members = true;
    settings.loss = loss;
    quota_fleet fleet(loop, settings);
    for (std::size_t account = 0; account < work.usual.size(); ++account) {
        fleet.set_quota("account-" + std::to_string(account), work.quota(account));
    }
    loop.run_for(10s);
    admissions result{std::vector<std::vector<steady_time>>(work.usual.size()),
                      std::vector<bool>(work.arrivals.size())};
    const auto start = loop.steady_now();
    std::function<void(std::size_t)> send = [&](std::size_t index) {
        const auto& each = work.arrivals[index];
        fleet.request(each.daemon, "account-" + std::to_string(each.account), true,
                      [&, index](const auto& verdict) {
                          if (verdict.value == quota_verdict::decision::granted) {
                              result.is_admitted[index] = true;
                              result.times[work.arrivals[index].account].push_back(
                                  loop.steady_now());
                          }
                      });
        if (index + 1 < work.arrivals.size()) {
            loop.after(start + work.arrivals[index + 1].at - loop.steady_now(),
                       [&send, index] { send(index + 1); });
        }
    };
    loop.after(work.arrivals.front().at, [&send] { send(0); });
    loop.run_for(calm_time + hot_time + after_time + 2s);
    traffic = fleet.traffic();
    return result;
}

result measure(const workload& work, const admissions& made, const quota_traffic& traffic)
{
    result found;
    found.traffic = traffic;
    for (std::size_t account = 0; account < work.usual.size(); ++account) {
        auto times = made.times[account];
        std::sort(times.begin(), times.end());
        const auto quota = work.quota(account);
        const std::chrono::duration<double> window = tolerance.window;
        const double limit = quota.rate * window.count() + std::max(quota.burst, 1.0);
        auto first = times.begin();
        for (auto last = times.begin(); last != times.end(); ++last) {
            while (*last - *first > tolerance.window) {
                ++first;
            }
            // The slack is for accounts whose quota is only a few requests.
            const auto beyond = static_cast<double>(last - first + 1) - limit;
            found.over = std::max(found.over, beyond / std::max(limit, tolerance.slack));
        }
    }
    buckets exact(work);
    const auto ideal = decide(work, [&](const arrival& each, steady_time now) {
        return exact.take(0, each.account, 1, now);
    });
    double entitled = 0;
    double refused = 0;
    double calm_entitled = 0;
    double calm_refused = 0;
    std::vector<double> ideal_count(work.usual.size());
    std::vector<double> made_count(work.usual.size());
    for (std::size_t each = 0; each < work.arrivals.size(); ++each) {
        const auto& request = work.arrivals[each];
        ideal_count[request.account] += ideal.is_admitted[each] ? 1 : 0;
        made_count[request.account] += made.is_admitted[each] ? 1 : 0;
        if (ideal.is_admitted[each] && request.at < calm_time) {
            calm_entitled += 1;
            calm_refused += made.is_admitted[each] ? 0 : 1;
        }
    }
    for (std::size_t account = 0; account < work.usual.size(); ++account) {
        entitled += ideal_count[account];
        refused += std::max(ideal_count[account] - made_count[account], 0.0);
    }
    found.under = refused / entitled;
    found.calm_under = calm_refused / calm_entitled;
    return found;
}

void print(const workload& work, const std::string& design, const result& found)
{
    const std::chrono::duration<double> length = calm_time + hot_time + after_time;
    const double daemon_seconds = length.count() * static_cast<double>(work.daemons);
    const auto rate = [&](std::uint64_t count) {
        return static_cast<double>(count) / daemon_seconds;
    };
    std::cout << "| " << work.daemons << " | " << work.usual.size() << " | " << design << std::fixed
              << std::setprecision(1) << " | " << 100 * found.over << " | " << 100 * found.under
              << " | " << 100 * found.calm_under << " | " << rate(found.traffic.messages) << " | "
              << rate(found.traffic.bytes) << " | " << rate(found.traffic.region_bytes) << " |\n";
}

void run(std::size_t daemons, std::uint64_t seed)
{
    const auto work = make_workload(daemons, std::clamp<std::size_t>(daemons, 30, 1000), seed);
    const double all = 1;
    buckets full(work);
    print(work, "no coordination",
          measure(work,
                  decide(work,
                         [&](const auto& each, auto now) {
                             return full.take(each.daemon, each.account, all, now);
                         }),
                  {}));
    buckets equal(work);
    const double share = 1 / static_cast<double>(daemons);
    print(work, "equal shares",
          measure(work,
                  decide(work,
                         [&](const auto& each, auto now) {
                             return equal.take(each.daemon, each.account, share, now);
                         }),
                  {}));
    quota_traffic traffic;
    demand_shares shares(work, traffic);
    const auto by_demand =
        decide(work, [&](const auto& each, auto now) { return shares.decide(each, now); });
    const std::size_t regions = quota_fleet_settings().regions;
    traffic.region_bytes = traffic.bytes * (regions - 1) / regions;
    print(work, "shares by demand", measure(work, by_demand, traffic));
    const auto held = run_holders(work, 0, traffic);
    print(work, "holder", measure(work, held, traffic));
    constexpr double lossy = 0.025;
    const auto held_lossy = run_holders(work, lossy, traffic);
    print(work, "holder, 2.5 % lost", measure(work, held_lossy, traffic));
}

} // namespace

int main(int count, char** arguments)
{
    cxxopts::Options options("quota_experiment",
                             "Compares designs that limit accounts over all daemons.");
    options.add_options()(
        "daemons", "fleet sizes",
        cxxopts::value<std::vector<std::size_t>>()->default_value("10,74,300,1000,6500"))(
        "seed", "of the load", cxxopts::value<std::uint64_t>()->default_value("1"));
    const auto parsed = options.parse(count, arguments);
    std::cout
        << "| daemons | accounts | design | over-use % | under-use % | under-use when calm % | "
           "messages/s a daemon | bytes/s a daemon | of them between regions |\n"
           "|---|---|---|---|---|---|---|---|---|\n";
    for (const auto daemons : parsed["daemons"].as<std::vector<std::size_t>>()) {
        run(daemons, parsed["seed"].as<std::uint64_t>());
    }
    return 0;
}
