// Measures what membership and configuration cost each daemon at several fleet sizes.
#include "experiment/control_capacity_memory.h"
#include "experiment/control_capacity_run.h"

#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

namespace {

using namespace galenaroad;

std::string csv_header()
{
    return "daemons,upstreams,sent_bytes_per_s,received_bytes_per_s,busiest_bytes_per_s,"
           "cross_region_bytes_per_s,messages_per_s,cpu_us_per_s,in_force_median_ms,"
           "in_force_worst_ms,detected_first_ms,detected_all_ms,left_all_ms,restarts,changes,"
           "bytes_per_member,bytes_per_upstream,bytes_per_route,memory_bytes_at_target\n";
}

std::string csv_line(const capacity_row& row, const control_memory& memory)
{
    std::ostringstream line;
    line << row.daemons << ',' << row.upstreams << ',' << row.sent_bytes_per_s << ','
         << row.received_bytes_per_s << ',' << row.busiest_bytes_per_s << ','
         << row.cross_region_bytes_per_s << ',' << row.messages_per_s << ',' << row.cpu_us_per_s
         << ',' << row.in_force_median_ms << ',' << row.in_force_worst_ms << ','
         << row.detected_first_ms << ',' << row.detected_all_ms << ',' << row.left_all_ms << ','
         << row.restarts << ',' << row.changes << ',' << memory.bytes_per_member << ','
         << memory.bytes_per_upstream << ',' << memory.bytes_per_route << ','
         << static_cast<std::uint64_t>(memory.total_bytes) << '\n';
    return line.str();
}

int run(int argc, char** argv)
{
    cxxopts::Options options("control_capacity", "Measures the cost of control for each daemon.");
    auto add = options.add_options();
    add("sizes", "Fleet sizes", cxxopts::value<std::vector<int>>()->default_value("100,300,1000"));
    add("seconds", "Measured period", cxxopts::value<int>()->default_value("60"));
    add("seed", "Seed of the random engine", cxxopts::value<std::uint64_t>()->default_value("1"));
    add("probes", "Changes to time", cxxopts::value<int>()->default_value("10"));
    add("sends", "Sends of an update, times log2(members)", cxxopts::value<double>());
    add("csv", "File for the results", cxxopts::value<std::string>());
    add("help", "Print this text");
    const auto given = options.parse(argc, argv);
    if (given.count("help") > 0) {
        std::cout << options.help();
        return 0;
    }
    std::ofstream file;
    if (given.count("csv") > 0) {
        file.open(given["csv"].as<std::string>());
    }
    const auto print = [&](const std::string& line) {
        std::cout << line << std::flush;
        file << line << std::flush;
    };
    print(csv_header());
    const auto memory = measure_control_memory();
    for (const auto size : given["sizes"].as<std::vector<int>>()) {
        capacity_settings settings;
        settings.daemons = size;
        settings.period = std::chrono::seconds(given["seconds"].as<int>());
        settings.seed = given["seed"].as<std::uint64_t>();
        settings.probes = given["probes"].as<int>();
        if (given.count("sends") > 0) {
            settings.membership.sends_per_log2 = given["sends"].as<double>();
        }
        print(csv_line(control_capacity_run(settings).run(), memory));
    }
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return run(argc, argv);
    }
    catch (const std::exception& error) {
        std::cerr << "control_capacity: " << error.what() << '\n';
        return 70;
    }
}
