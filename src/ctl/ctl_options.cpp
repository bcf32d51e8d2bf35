#include "ctl/ctl_options.h"

#include <cxxopts.hpp>

namespace galenaroad {

namespace {

cxxopts::Options make_options()
{
    const auto text = [](const char* value) {
        return cxxopts::value<std::string>()->default_value(value);
    };
    cxxopts::Options options("galenaroadctl", "Operates a galenaroad fleet.");
    options.positional_help("COMMAND [ARGUMENTS]");
    auto add = options.add_options();
    add("output", "Output as text or json", text("text"), "FORMAT");
    add("table", "Table service", text("127.0.0.1:7301"), "IP:PORT");
    add("objects", "Object store", text("127.0.0.1:7302"), "IP:PORT");
    add("admin", "Admin address of a daemon", text("127.0.0.1:7201"), "IP:PORT");
    add("entry", "Entry address of a daemon", text("127.0.0.1:7001"), "IP:PORT");
    add("reason", "Why an upstream is drained", text("drained by operator"), "TEXT");
    add("dry-run", "Show what apply would change and change nothing");
    add("help", "Print this help and exit");
    add("version", "Print the version and exit");
    options.add_options("positional")("command", "", cxxopts::value<std::string>())(
        "arguments", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional({"command", "arguments"});
    return options;
}

void read_values(const cxxopts::ParseResult& parsed, ctl_options& made)
{
    const auto text = [&](const char* name) { return parsed[name].as<std::string>(); };
    made.table_address = text("table");
    made.objects_address = text("objects");
    made.admin_address = text("admin");
    made.entry_address = text("entry");
    made.reason = text("reason");
    made.dry_run = parsed.count("dry-run") > 0;
    made.show_help = parsed.count("help") > 0;
    made.show_version = parsed.count("version") > 0;
    made.json_output = text("output") == "json";
    if (text("output") != "json" && text("output") != "text") {
        made.fault = "--output must be text or json, found \"" + text("output") + '"';
    }
    if (parsed.count("command") > 0) {
        made.command = text("command");
    }
    if (parsed.count("arguments") > 0) {
        made.arguments = parsed["arguments"].as<std::vector<std::string>>();
    }
}

} // namespace

ctl_options ctl_options::parse(int argc, const char* const* argv)
{
    auto options = make_options();
    ctl_options made;
    made.help = options.help({""});
    try {
        read_values(options.parse(argc, argv), made);
    }
    catch (const std::exception& error) {
        made.fault = error.what();
    }
    return made;
}

const std::vector<std::string>& ctl_options::names()
{
    static const std::vector<std::string> names{"--output", "--table",   "--objects",
                                                "--admin",  "--entry",   "--reason",
                                                "--help",   "--dry-run", "--version"};
    return names;
}

} // namespace galenaroad
