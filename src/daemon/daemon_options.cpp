#include "daemon/daemon_options.h"

#include <cxxopts.hpp>

namespace galenaroad {

daemon_options daemon_options::parse(int argc, const char* const* argv)
{
    cxxopts::Options options("galenaroadd", "Proxy daemon of a backend server instance");
    options.add_options()("settings", "Read the settings from FILE",
                          cxxopts::value<std::string>()->default_value(""),
                          "FILE")("addresses-file", "Write the bound addresses as JSON to FILE",
                                  cxxopts::value<std::string>()->default_value(""),
                                  "FILE")("check", "Check the settings and exit")(
        "version", "Print the version and exit")("help", "Print this help and exit");
    daemon_options made;
    made.help = options.help();
    try {
        const auto parsed = options.parse(argc, argv);
        made.settings_file = parsed["settings"].as<std::string>();
        made.addresses_file = parsed["addresses-file"].as<std::string>();
        made.check = parsed.count("check") > 0;
        made.show_version = parsed.count("version") > 0;
        made.show_help = parsed.count("help") > 0;
        if (made.settings_file.empty() && !made.show_version && !made.show_help) {
            made.fault = "--settings FILE is required";
        }
    }
    catch (const cxxopts::exceptions::exception& error) {
        made.fault = error.what();
    }
    return made;
}

} // namespace galenaroad
