#include "experiment/detection_model.h"

#include <algorithm>
#include <atomic>
#include <cmath>
#include <cxxopts.hpp>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <thread>

using namespace galenaroad;

namespace {

constexpr int most_threads = 4;
// Faults of combined runs start within 8 s and last at most 12 s.
constexpr std::chrono::seconds combined_duration{24};

struct job {
    detection_parameters parameters;
    detection_result result;
};

/// Results of all seeds of one business, scenario, method and threshold.
struct summary {
    int runs = 0;
    int targets = 0;
    std::vector<double> detection_ms;
    detection_result total;

    void add(const detection_result& one)
    {
        ++runs;
        targets += one.has_target ? 1 : 0;
        if (one.detection) {
            detection_ms.push_back(static_cast<double>(one.detection->count()));
        }
        total.true_ejections += one.true_ejections;
        total.false_ejections += one.false_ejections;
        total.false_holds += one.false_holds;
        total.floor_breaches += one.floor_breaches;
        total.requests += one.requests;
        total.attempts += one.attempts;
        total.unanswered += one.unanswered;
        total.errors += one.errors;
        total.store_writes += one.store_writes;
    }

    // A run without detection counts as slower than all others.
    std::string quantile(double share) const
    {
        if (targets == 0) {
            return "-";
        }
        auto sorted = detection_ms;
        std::sort(sorted.begin(), sorted.end());
        const auto rank = static_cast<std::size_t>(std::lround(share * (targets - 1)));
        return rank < sorted.size() ? std::to_string(static_cast<int>(sorted[rank])) : "never";
    }

    int detected_within(double limit) const
    {
        return static_cast<int>(std::count_if(detection_ms.begin(), detection_ms.end(),
                                              [&](double time) { return time <= limit; }));
    }
};

std::vector<std::string> split(const std::string& list)
{
    std::vector<std::string> parts;
    std::istringstream text(list);
    for (std::string part; std::getline(text, part, ',');) {
        parts.push_back(part);
    }
    return parts;
}

bool is_listed(const std::vector<std::string>& list, const std::string& name)
{
    return list.empty() || std::find(list.begin(), list.end(), name) != list.end();
}

std::vector<job> plan_jobs(const cxxopts::ParseResult& arguments)
{
    const auto methods = split(arguments["method"].as<std::string>());
    const auto scenarios = split(arguments["scenario"].as<std::string>());
    const auto businesses = split(arguments["business"].as<std::string>());
    std::vector<std::optional<double>> thresholds{std::nullopt};
    if (arguments.count("sweep") != 0) {
        thresholds.clear();
        for (const std::string& value : split(arguments["sweep"].as<std::string>())) {
            thresholds.emplace_back(std::stod(value));
        }
    }
    std::vector<job> jobs;
    for (const business_size& business : business_sizes()) {
        for (int kind = 0; kind <= static_cast<int>(scenario_kind::combined); ++kind) {
            for (int method = 0; method <= static_cast<int>(ejection_method::independent);
                 ++method) {
                detection_parameters planned;
                planned.business = business;
                planned.scenario = static_cast<scenario_kind>(kind);
                planned.method = static_cast<ejection_method>(method);
                if (!is_listed(businesses, business.name) ||
                    !is_listed(scenarios, name_of(planned.scenario)) ||
                    !is_listed(methods, name_of(planned.method))) {
                    continue;
                }
                if (planned.scenario == scenario_kind::healthy) {
                    planned.duration = std::chrono::seconds(arguments["healthy-seconds"].as<int>());
                }
                if (planned.scenario == scenario_kind::combined) {
                    planned.duration = combined_duration;
                }
                if (arguments.count("policy") != 0) {
                    planned.business.policy = arguments["policy"].as<std::string>() == "fast"
                                                  ? detection_policy::fast
                                                  : detection_policy::careful;
                }
                for (const auto& threshold : thresholds) {
                    planned.threshold = threshold;
                    const auto first = arguments["first-seed"].as<unsigned>();
                    for (unsigned number = 0; number < arguments["seeds"].as<unsigned>();
                         ++number) {
                        planned.seed = first + number;
                        jobs.push_back({planned, {}});
                    }
                }
            }
        }
    }
    return jobs;
}

void run_jobs(std::vector<job>& jobs, int thread_count)
{
    std::atomic<std::size_t> next{0};
    std::vector<std::thread> threads;
    for (int number = 0; number < std::clamp(thread_count, 1, most_threads); ++number) {
        threads.emplace_back([&] {
            for (std::size_t index = next++; index < jobs.size(); index = next++) {
                jobs[index].result = detection_model(jobs[index].parameters).run();
            }
        });
    }
    for (std::thread& each : threads) {
        each.join();
    }
}

bool is_same_group(const detection_parameters& a, const detection_parameters& b)
{
    return a.business.name == b.business.name && a.scenario == b.scenario && a.method == b.method &&
           a.threshold == b.threshold;
}

std::vector<std::string> row_of(const detection_parameters& parameters, const summary& sum)
{
    const detection_result& total = sum.total;
    std::ostringstream amplification;
    amplification << std::fixed << std::setprecision(3)
                  << static_cast<double>(total.attempts) / static_cast<double>(total.requests);
    std::ostringstream threshold;
    threshold << parameters.detector().evidence_threshold;
    return {parameters.business.name,
            name_of(parameters.scenario),
            name_of(parameters.method),
            parameters.business.policy == detection_policy::fast ? "fast" : "careful",
            threshold.str(),
            std::to_string(sum.runs),
            sum.quantile(0.5),
            sum.quantile(0.9),
            sum.targets == 0 ? "-" : std::to_string(sum.detected_within(1000)),
            std::to_string(total.true_ejections),
            std::to_string(total.false_ejections),
            std::to_string(total.false_holds),
            std::to_string(total.floor_breaches),
            std::to_string(total.requests),
            std::to_string(total.unanswered),
            std::to_string(total.errors),
            amplification.str(),
            std::to_string(total.store_writes)};
}

const std::vector<std::string> columns{"business",
                                       "scenario",
                                       "method",
                                       "policy",
                                       "threshold",
                                       "runs",
                                       "detection_p50",
                                       "detection_p90",
                                       "within_1s",
                                       "true_ejections",
                                       "false_ejections",
                                       "false_holds",
                                       "floor_breaches",
                                       "requests",
                                       "unanswered",
                                       "errors",
                                       "attempts_per_request",
                                       "store_writes"};

void print_table(const std::vector<std::vector<std::string>>& rows)
{
    for (std::size_t row = 0; row <= rows.size(); ++row) {
        const auto& cells = row == 0 ? columns : rows[row - 1];
        for (std::size_t column = 0; column < cells.size(); ++column) {
            std::cout << std::left << std::setw(static_cast<int>(columns[column].size()) + 1)
                      << cells[column] << ' ';
        }
        std::cout << '\n';
    }
}

void write_csv(const std::string& path, const std::vector<std::vector<std::string>>& rows)
{
    std::ofstream file(path);
    for (std::size_t row = 0; row <= rows.size(); ++row) {
        const auto& cells = row == 0 ? columns : rows[row - 1];
        for (std::size_t column = 0; column < cells.size(); ++column) {
            file << (column == 0 ? "" : ",") << cells[column];
        }
        file << '\n';
    }
}

void report(const std::vector<job>& jobs, const cxxopts::ParseResult& arguments)
{
    std::vector<std::vector<std::string>> rows;
    for (std::size_t index = 0; index < jobs.size();) {
        const detection_parameters& first = jobs[index].parameters;
        summary sum;
        for (; index < jobs.size() && is_same_group(jobs[index].parameters, first); ++index) {
            sum.add(jobs[index].result);
            for (const std::string& note : jobs[index].result.notes) {
                if (arguments.count("notes") != 0) {
                    std::cout << first.business.name << ' ' << name_of(first.scenario) << ' '
                              << name_of(first.method) << " seed " << jobs[index].parameters.seed
                              << ": " << note << '\n';
                }
            }
        }
        rows.push_back(row_of(first, sum));
    }
    print_table(rows);
    if (arguments.count("csv") != 0) {
        write_csv(arguments["csv"].as<std::string>(), rows);
    }
}

cxxopts::Options command_line()
{
    cxxopts::Options options("detection_experiment",
                             "Measures gray failure detection and the capacity floor");
    const auto text = [] { return cxxopts::value<std::string>()->default_value(""); };
    options.add_options()("seeds", "Number of seeds",
                          cxxopts::value<unsigned>()->default_value("10"))(
        "first-seed", "First seed", cxxopts::value<unsigned>()->default_value("1"))(
        "business", "Businesses, separated by commas; all when empty",
        text())("scenario", "Scenarios, separated by commas; all when empty",
                text())("method", "Methods, separated by commas; all when empty", text())(
        "policy", "Policy for both businesses: fast or careful", cxxopts::value<std::string>())(
        "sweep", "Evidence thresholds, separated by commas", cxxopts::value<std::string>())(
        "healthy-seconds", "Length of healthy runs", cxxopts::value<int>()->default_value("60"))(
        "threads", "Threads, at most 4", cxxopts::value<int>()->default_value("4"))(
        "csv", "File to write the table to", cxxopts::value<std::string>())(
        "notes", "Print each false ejection and floor breach")("help", "Show help");
    return options;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options = command_line();
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") != 0) {
        std::cout << options.help();
        return 0;
    }
    auto jobs = plan_jobs(arguments);
    run_jobs(jobs, arguments["threads"].as<int>());
    report(jobs, arguments);
    return 0;
}
