#include "standins/standin_backend_server_announcer.h"
#include "standins/standin_backend_server_http.h"
#include "telemetry/structured_log.h"

#include <Poco/Exception.h>
#include <csignal>
#include <cstdio>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>

namespace {

using namespace galenaroad;

constexpr int exit_usage = 64;

cxxopts::Options make_options()
{
    cxxopts::Options options("standin_backend_server", "Plays one backend server of a business");
    const auto text = [](const char* value) {
        return cxxopts::value<std::string>()->default_value(value);
    };
    const auto number = [](const char* value) {
        return cxxopts::value<int>()->default_value(value);
    };
    auto add = options.add_options();
    add("name", "name, unique on the instance", cxxopts::value<std::string>());
    add("business", "business that it serves", cxxopts::value<std::string>());
    add("service", "service that it is part of", cxxopts::value<std::string>());
    add("address", "IP address and port to listen on; port 0 picks one", text("127.0.0.1:0"));
    add("admin", "admin address of its daemon; empty announces nothing", text(""));
    add("entry", "entry address of its daemon, for nested calls", text(""));
    add("host", "host name of the business, for nested calls", text(""));
    add("slots", "requests that it runs at the same time", number("7"));
    add("connections", "connections that it can hold", number("330"));
    add("service-time-ms", "mean time of a request", number("5"));
    add("spans-file", "file to which spans are appended", text(""));
    add("seed", "start of the random sequence", number("1"));
    add("addresses-file", "file that receives the bound address, as JSON", text(""));
    add("help", "print this text");
    return options;
}

standin_backend_server_settings read_settings(const cxxopts::ParseResult& arguments)
{
    const auto text = [&](const char* name) { return arguments[name].as<std::string>(); };
    standin_backend_server_settings settings;
    settings.name = text("name");
    settings.business = text("business");
    settings.service = text("service");
    settings.address = text("address");
    settings.admin_address = text("admin");
    settings.entry_address = text("entry");
    settings.host = text("host");
    settings.spans_file = text("spans-file");
    settings.slots = arguments["slots"].as<int>();
    settings.connections = arguments["connections"].as<int>();
    settings.service_time = std::chrono::milliseconds(arguments["service-time-ms"].as<int>());
    return settings;
}

// The file appears complete under its name, so that a reader never sees a part of it.
void write_addresses_file(const std::string& path, const std::string& address)
{
    if (path.empty()) {
        return;
    }
    const auto part = path + ".part";
    std::ofstream(part) << nlohmann::json{{"address", address}}.dump() << '\n';
    std::rename(part.c_str(), path.c_str());
}

sigset_t block_stop_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

int serve(const cxxopts::ParseResult& arguments, const sigset_t& stop_signals)
{
    const auto settings = read_settings(arguments);
    structured_log::configure("standin_backend_server", settings.name, log_level::info);
    standin_backend_server_http server(settings);
    server.faults().apply(nlohmann::json{{"seed", arguments["seed"].as<int>()}}.dump());
    standin_backend_server_announcer announcer(settings, server.address(), server.faults());
    write_addresses_file(arguments["addresses-file"].as<std::string>(), server.address());
    structured_log::info("listening", {{"address", server.address()}});
    int signal = 0;
    sigwait(&stop_signals, &signal);
    const bool is_confirmed = announcer.leave();
    structured_log::info("leaving", {{"confirmed", is_confirmed ? "true" : "false"}});
    server.drain();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    // Threads inherit the mask, so that only sigwait() receives the signals.
    const auto stop_signals = block_stop_signals();
    try {
        auto options = make_options();
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0) {
            std::cout << options.help();
            return 0;
        }
        return serve(arguments, stop_signals);
    }
    catch (const Poco::Exception& error) {
        std::cerr << error.displayText() << '\n';
    }
    catch (const std::exception& error) {
        std::cerr << error.what() << '\n';
    }
    return exit_usage;
}
