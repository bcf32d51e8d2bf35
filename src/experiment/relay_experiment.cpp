#include "experiment/relay_replay.h"

#include <algorithm>
#include <cstdlib>
#include <cxxopts.hpp>
#include <functional>
#include <iomanip>
#include <iostream>
#include <map>
#include <vector>

namespace {

using namespace galenaroad;

// Probability that no belief exceeds.
constexpr double certain = 1;

/// The product and what it is compared with: each mechanism switched off, and more knowledge.
std::vector<replay_version> all_versions()
{
    std::vector<replay_version> versions(1);
    const auto add = [&versions](const char* name, const auto& change) {
        replay_version made;
        made.name = name;
        change(made);
        versions.push_back(made);
    };
    add("no conditions", [](auto& made) { made.knowledge = owner_knowledge::none; });
    add("no news", [](auto& made) { made.knowledge = owner_knowledge::told; });
    add("current news", [](auto& made) { made.knowledge = owner_knowledge::current; });
    add("clairvoyant", [](auto& made) { made.knowledge = owner_knowledge::clairvoyant; });
    add("never explores", [](auto& made) { made.explores = false; });
    add("takes any risk", [](auto& made) {
        made.policy.search_refusal_threshold = certain;
        made.policy.last_resort_refusal_threshold = certain;
    });
    add("no early doubt", [](auto& made) { made.policy.search_refusal_threshold = certain; });
    add("refuses doubt", [](auto& made) {
        made.policy.last_resort_refusal_threshold = made.policy.search_refusal_threshold;
    });
    add("no belief",
        [](auto& made) { made.policy.failures.decay_time = std::chrono::milliseconds(1); });
    add("never waits", [](auto& made) { made.may_wait = false; });
    add("long waits", [](auto& made) { made.policy.standing_queue_time = std::chrono::hours(1); });
    // What a full queue weighs when it turns requests away.
    const slot_queue_policy nothing{false, false, false};
    add("order before", [&](auto& made) { made.policy.queue = nothing; });
    add("work only", [&](auto& made) {
        made.policy.queue = nothing;
        made.policy.queue.weighs_work = true;
    });
    add("accounts only", [&](auto& made) {
        made.policy.queue = nothing;
        made.policy.queue.weighs_accounts = true;
    });
    add("under way only", [&](auto& made) {
        made.policy.queue = nothing;
        made.policy.queue.spares_under_way = true;
    });
    return versions;
}

/// A change of the recorded world that no version has been chosen on.
struct world {
    const char* name;
    std::function<void(replay_scenario&)> change;
};

void scale_times(replay_scenario& load, double factor)
{
    using std::chrono::milliseconds;
    const auto scale = [factor](milliseconds& time) {
        time = std::chrono::duration_cast<milliseconds>(time * factor);
    };
    for (auto& kind : load.kinds) {
        scale(kind.work);
        scale(kind.goal);
        scale(kind.deadline);
        // As many of them hold a slot at a time as before.
        for (auto& rate : kind.rates) {
            rate /= factor;
        }
    }
}

std::vector<world> all_worlds()
{
    constexpr double tenth = 0.1;
    constexpr double tenfold = 10;
    return {
        {"recorded", [](auto&) {}},
        {"spells x 0.1", [](auto& load) { load.noise.period /= 10; }},
        {"spells x 10", [](auto& load) { load.noise.period *= 10; }},
        {"3% failing", [](auto& load) { load.noise.share *= tenth; }},
        {"9% of requests", [](auto& load) { load.noise.failing_share *= tenth; }},
        {"work x 0.1", [](auto& load) { scale_times(load, tenth); }},
        {"work x 10", [](auto& load) { scale_times(load, tenfold); }},
    };
}

struct sums {
    double worth = 0;
    double whole = 0;
    double nines = 0;
    double windows = 0;
    double kind = 0;
    double served = 0;
    double free_refusals = 0;
    double held_ms = 0;
    double attempts = 0;
    double wasted = 0;
    double far_mb = 0;
    double floor = 0;

    void add(const replay_result& result)
    {
        worth += result.worth();
        whole += result.all.worth();
        nines += result.nines();
        windows += result.worst_windows();
        kind += result.worst_kind();
        served += static_cast<double>(result.all.served) / static_cast<double>(result.all.asked);
        free_refusals += static_cast<double>(result.refused_beside_free_slot);
        held_ms += static_cast<double>(result.refused_held.count()) /
                   static_cast<double>(std::max(result.all.refused, 1L));
        attempts += static_cast<double>(result.attempts) / static_cast<double>(result.requests);
        wasted += static_cast<double>(result.wasted_runs);
        far_mb += result.far_megabytes;
        floor += static_cast<double>(result.floor_breaches);
    }
};

void print_line(const std::string& name, const sums& of, double seeds)
{
    std::cout << std::left << std::setw(16) << name << std::right << std::fixed
              << std::setprecision(3) << std::setw(8) << of.worth / seeds << std::setw(8)
              << of.whole / seeds << std::setw(8) << of.nines / seeds << std::setw(9)
              << of.windows / seeds << std::setw(8) << of.kind / seeds << std::setw(8)
              << of.served / seeds << std::setprecision(1) << std::setw(10)
              << of.free_refusals / seeds << std::setw(8) << of.held_ms / seeds
              << std::setprecision(3) << std::setw(10) << of.attempts / seeds
              << std::setprecision(1) << std::setw(8) << of.wasted / seeds << std::setw(8)
              << of.far_mb / seeds << std::setw(8) << of.floor / seeds << '\n';
}

/// Served share of each kind, and of accounts, over all seeds.
class served_shares {
public:
    void add(const replay_result& result)
    {
        for (const auto& [name, counts] : result.kinds) {
            add(m_kinds[name], counts);
        }
        for (const auto& [name, counts] : result.accounts) {
            add(m_accounts[name], counts);
        }
    }

    void print() const
    {
        std::cout << std::setprecision(3);
        for (const auto& [name, counts] : m_kinds) {
            std::cout << "    " << name << " " << share(counts) << ", late-weighed "
                      << counts.worth() << '\n';
        }
        if (!m_accounts.empty()) {
            print_accounts();
        }
    }

private:
    static void add(replay_counts& to, const replay_counts& counts)
    {
        to.asked += counts.asked;
        to.served += counts.served;
        to.owed += counts.owed;
        to.credit += counts.credit;
    }

    static double share(const replay_counts& counts)
    {
        return static_cast<double>(counts.served) / static_cast<double>(std::max(counts.asked, 1L));
    }

    void print_accounts() const
    {
        std::vector<replay_counts> accounts;
        for (const auto& each : m_accounts) {
            accounts.push_back(each.second);
        }
        std::sort(accounts.begin(), accounts.end(),
                  [](const auto& a, const auto& b) { return share(a) < share(b); });
        replay_counts worst;
        for (std::size_t i = 0; i < (accounts.size() + 9) / 10; ++i) {
            add(worst, accounts[i]);
        }
        const auto busiest =
            std::max_element(accounts.begin(), accounts.end(),
                             [](const auto& a, const auto& b) { return a.asked < b.asked; });
        replay_counts others;
        for (const auto& each : accounts) {
            add(others, each);
        }
        others.asked -= busiest->asked;
        others.served -= busiest->served;
        std::cout << "    accounts: busiest " << share(*busiest) << " of " << busiest->asked
                  << ", others " << share(others) << ", worst tenth " << share(worst) << '\n';
    }

    std::map<std::string, replay_counts> m_kinds;
    std::map<std::string, replay_counts> m_accounts;
};

/// What is played of each replay.
struct selection {
    std::uint64_t seeds = 0;
    std::string version; ///< Empty for all of them.
    bool shows_shares = false;
};

void compare(const std::string& path, const world& played, const selection& selected)
{
    auto scenario = replay_scenario::read(path);
    played.change(scenario);
    std::cout << '\n'
              << scenario.name << ", " << played.name << '\n'
              << "version           worth   whole   nines  windows    kind  served  refused*"
                 "    held  attempts  wasted  far MB   floor\n";
    for (const auto& version : all_versions()) {
        if (!selected.version.empty() && version.name != selected.version) {
            continue;
        }
        sums total;
        served_shares shares;
        for (std::uint64_t seed = 1; seed <= selected.seeds; ++seed) {
            const auto result = relay_replay(scenario, version, seed).run();
            total.add(result);
            shares.add(result);
        }
        print_line(version.name, total, static_cast<double>(selected.seeds));
        if (selected.shows_shares) {
            shares.print();
        }
    }
}

} // namespace

int main(int count, char** arguments)
{
    cxxopts::Options options("relay_experiment",
                             "Compares versions of the decisions on recorded loads.");
    options.add_options()("replays", "files with replays",
                          cxxopts::value<std::vector<std::string>>())(
        "seeds", "seeds of each replay", cxxopts::value<std::uint64_t>()->default_value("10"))(
        "version", "plays this version only", cxxopts::value<std::string>()->default_value(""))(
        "shares", "also prints the served share of kinds and accounts")(
        "worlds", "also plays worlds that differ by ten times from the recorded one");
    options.parse_positional("replays");
    try {
        const auto given = options.parse(count, arguments);
        auto worlds = all_worlds();
        if (given.count("worlds") == 0) {
            worlds.resize(1);
        }
        for (const auto& path : given["replays"].as<std::vector<std::string>>()) {
            for (const auto& each : worlds) {
                compare(path, each,
                        {given["seeds"].as<std::uint64_t>(), given["version"].as<std::string>(),
                         given.count("shares") > 0});
            }
        }
        std::cout << "\nworth: as the users weigh it, without prices; refused*: while an upstream "
                     "of the service had a free slot; held: ms until a refusal\n";
        return EXIT_SUCCESS;
    }
    catch (const std::exception& error) {
        std::cerr << error.what() << '\n';
        return EXIT_FAILURE;
    }
}
