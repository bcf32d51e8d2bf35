#include "experiment/overload_model.h"

#include <cxxopts.hpp>
#include <iomanip>
#include <iostream>

using namespace galenaroad;

namespace {

void print_run(const overload_parameters& parameters, const overload_result& result)
{
    const char* policy =
        parameters.policy == overload_policy::product ? "product" : "unbounded_queue";
    std::cout << policy << ',' << parameters.slots << ',' << parameters.load << ','
              << parameters.failing_share << ',' << parameters.seed << ',' << result.requests << ','
              << std::setprecision(4) << result.goodput() << ',' << result.refused << ','
              << result.late << ',' << result.amplification() << ','
              << result.mean_refusal_time().count() << '\n';
}

void run_all(std::uint64_t seed)
{
    std::cout << "policy,slots,load,failing_share,seed,requests,goodput,refused,late_at_deadline,"
                 "attempts_per_call,mean_refusal_ms\n";
    for (const int slots : {7, 3}) {
        for (const double failing_share : {0.0, 1.0}) {
            for (const double load : {0.6, 1.0, 1.5, 2.0, 4.0}) {
                for (const auto policy :
                     {overload_policy::product, overload_policy::unbounded_queue}) {
                    overload_parameters parameters;
                    parameters.policy = policy;
                    parameters.load = load;
                    parameters.slots = slots;
                    parameters.failing_share = failing_share;
                    parameters.seed = seed;
                    print_run(parameters, overload_model(parameters).run());
                }
            }
        }
    }
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("overload_experiment",
                             "Compares admission and retries with an unbounded queue as CSV");
    options.add_options()("seed", "Seed of the random engine",
                          cxxopts::value<std::uint64_t>()->default_value("1"))("help", "Show help");
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") != 0) {
        std::cout << options.help();
        return 0;
    }
    run_all(arguments["seed"].as<std::uint64_t>());
    return 0;
}
