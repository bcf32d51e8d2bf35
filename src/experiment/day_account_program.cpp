#include "experiment/day_account.h"

#include <cstdlib>
#include <cxxopts.hpp>
#include <fstream>
#include <iomanip>
#include <iostream>

namespace {

using namespace galenaroad;

void print(const char* title, const std::map<std::string, account_row>& rows)
{
    std::cout << title << '\n';
    for (const auto& [name, row] : rows) {
        std::cout << "  " << std::left << std::setw(20) << (name.empty() ? "-" : name) << " asked "
                  << row.asked << ", served " << row.served;
        for (std::size_t cause = 0; cause < unserved_causes; ++cause) {
            if (row.unserved.at(cause) > 0) {
                std::cout << ", " << cause_name(static_cast<unserved_cause>(cause)) << ' '
                          << row.unserved.at(cause);
            }
        }
        std::cout << '\n';
    }
}

void read_log(day_account& account, const std::string& path)
{
    std::ifstream file(path);
    if (!file) {
        throw std::runtime_error(path + ": cannot be read");
    }
    long lines = 0;
    for (std::string line; std::getline(file, line);) {
        lines += account.add_line(line) ? 1 : 0;
    }
    if (lines == 0) {
        throw std::runtime_error(path + ": holds no line of a decision log");
    }
}

} // namespace

int main(int count, char** arguments)
{
    cxxopts::Options options("day_account",
                             "Tells from decision logs why requests were not served.");
    options.add_options()("logs", "files with the logs of all daemons",
                          cxxopts::value<std::vector<std::string>>())(
        "seconds", "also tell it by second")("help", "print this text");
    options.parse_positional("logs");
    options.positional_help("LOG...");
    try {
        const auto given = options.parse(count, arguments);
        if (given.count("help") > 0 || given.count("logs") == 0) {
            std::cout << options.help();
            return given.count("help") > 0 ? EXIT_SUCCESS : EXIT_FAILURE;
        }
        day_account account;
        for (const auto& path : given["logs"].as<std::vector<std::string>>()) {
            read_log(account, path);
        }
        print("by service", account.by_service());
        if (given.count("seconds") > 0) {
            print("by second", account.by_second());
        }
        std::cout << "refusals between daemons\n";
        for (const auto& [reason, number] : account.refusals()) {
            std::cout << "  " << reason << ' ' << number << '\n';
        }
        return EXIT_SUCCESS;
    }
    catch (const std::exception& error) {
        std::cerr << "day_account: " << error.what() << '\n';
        return EXIT_FAILURE;
    }
}
