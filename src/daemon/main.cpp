#include "daemon/daemon_options.h"
#include "daemon/proxy_daemon.h"
#include "settings/contract_loader.h"
#include "settings/daemon_settings_loader.h"
#include "telemetry/structured_log.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <iostream>

using namespace galenaroad;

namespace {

using contract_list = std::vector<std::shared_ptr<const contract>>;

int exit_code(error_kind kind)
{
    return answer_for(kind).exit_code;
}

void print(const std::vector<source_error>& errors)
{
    for (const auto& error : errors) {
        std::cerr << to_text(error) << '\n';
    }
}

bool load_contracts(const std::string& folder, contract_list& contracts)
{
    std::error_code failed;
    std::vector<std::string> paths;
    for (const auto& file : std::filesystem::directory_iterator(folder, failed)) {
        if (file.path().extension() == ".yaml") {
            paths.push_back(file.path().string());
        }
    }
    std::sort(paths.begin(), paths.end());
    bool is_valid = !failed;
    for (const auto& path : paths) {
        auto loaded = contract_loader::load_file(path);
        if (!loaded) {
            print(loaded.error());
            is_valid = false;
            continue;
        }
        loaded->version = 1;
        contracts.push_back(std::make_shared<const contract>(std::move(*loaded)));
    }
    return is_valid;
}

sigset_t block_stop_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    // A peer that closes its connection is reported by the write's result.
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

int run(const daemon_settings& settings, const daemon_options& options, contract_list contracts)
{
    const auto signals = block_stop_signals();
    structured_log::configure("galenaroadd", settings.instance, settings.level);
    proxy_daemon daemon(settings, std::move(contracts));
    const auto bound = daemon.start();
    if (!bound) {
        structured_log::error("An address cannot be bound");
        return exit_code(kind_of(bound.error()));
    }
    if (!options.addresses_file.empty() && !bound->write_to(options.addresses_file)) {
        structured_log::error("The addresses file cannot be written");
        return exit_code(error_kind::settings_invalid);
    }
    int received = 0;
    sigwait(&signals, &received);
    daemon.shut_down();
    return 0;
}

int start(const daemon_options& options)
{
    const auto settings = daemon_settings_loader::load_file(options.settings_file);
    if (!settings) {
        print(settings.error());
        return exit_code(error_kind::settings_invalid);
    }
    contract_list contracts;
    if (!settings->contracts_folder.empty() &&
        !load_contracts(settings->contracts_folder, contracts)) {
        return exit_code(error_kind::declaration_invalid);
    }
    return options.check ? 0 : run(*settings, options, std::move(contracts));
}

} // namespace

int main(int argc, char** argv)
{
    const auto options = daemon_options::parse(argc, argv);
    if (!options.fault.empty()) {
        std::cerr << options.fault << '\n' << options.help;
        return exit_code(error_kind::settings_invalid);
    }
    if (options.show_help) {
        std::cout << options.help;
        return 0;
    }
    if (options.show_version) {
        std::cout << "galenaroadd " << GALENAROAD_VERSION << '\n';
        return 0;
    }
    return start(options);
}
