#include "soak/soak_fleet.h"

#include <csignal>
#include <cstdlib>
#include <cxxopts.hpp>
#include <filesystem>
#include <iostream>

namespace {

using namespace galenaroad;

/// Moves the logs of an earlier run of a seed out of the way. There are some only if a promise was
/// broken in it, or if it did not end.
void keep_earlier_logs(const std::string& folder)
{
    if (!std::filesystem::exists(folder)) {
        return;
    }
    int number = 1;
    while (std::filesystem::exists(folder + "." + std::to_string(number))) {
        ++number;
    }
    std::filesystem::rename(folder, folder + "." + std::to_string(number));
}

/// Runs one seed and prints what it found.
/// @return true when no promise was broken.
bool run_seed(soak_settings settings, const std::string& logs)
{
    settings.folder = logs + "/seed-" + std::to_string(settings.seed);
    keep_earlier_logs(settings.folder);
    std::filesystem::create_directories(settings.folder);
    soak_fleet fleet(settings);
    const auto& history = fleet.run();
    const auto violations = history.violations();
    int served = 0;
    for (const auto& request : history.requests) {
        served += request.status == 200 ? 1 : 0;
    }
    std::cout << "seed " << settings.seed << ": " << history.requests.size() << " requests, "
              << served << " served, " << history.runs.size() << " runs, " << fleet.faults().size()
              << " faults, " << violations.size() << " broken promises"
              << std::endl; // Seen at once in a long run.
    for (const auto& each : violations) {
        std::cout << "  " << each << '\n';
    }
    if (violations.empty()) {
        std::filesystem::remove_all(settings.folder);
        return true;
    }
    for (const auto& each : fleet.faults()) {
        std::cout << "  fault at " << each << '\n';
    }
    std::cout << "  logs: " << settings.folder << '\n';
    return false;
}

} // namespace

int main(int count, char** arguments)
{
    std::signal(SIGPIPE, SIG_IGN);
    cxxopts::Options options("galenaroad_soak", "Runs real daemons under random faults.");
    options.add_options()("program", "path of soak_daemon", cxxopts::value<std::string>())(
        "logs", "folder for logs", cxxopts::value<std::string>()->default_value("/tmp/gr-soak"))(
        "seed", "first seed", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "seeds", "number of seeds", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "daemons", "daemons", cxxopts::value<int>()->default_value("6"))(
        "seconds", "length of a run", cxxopts::value<int>()->default_value("12"))(
        "rate", "requests a second", cxxopts::value<double>()->default_value("80"));
    const auto given = options.parse(count, arguments);
    soak_settings settings;
    settings.program = given["program"].as<std::string>();
    settings.daemons = given["daemons"].as<int>();
    settings.length = std::chrono::seconds(given["seconds"].as<int>());
    settings.requests_per_second = given["rate"].as<double>();
    const auto first = given["seed"].as<std::uint64_t>();
    bool is_clean = true;
    for (auto seed = first; seed < first + given["seeds"].as<std::uint64_t>(); ++seed) {
        settings.seed = seed;
        is_clean = run_seed(settings, given["logs"].as<std::string>()) && is_clean;
    }
    return is_clean ? EXIT_SUCCESS : EXIT_FAILURE;
}
