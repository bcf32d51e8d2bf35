#include "telemetry/structured_log.h"

#include <array>
#include <ctime>
#include <easylogging++.h>
#include <nlohmann/json.hpp>

// NOLINTNEXTLINE: the macro of the library defines its global storage.
INITIALIZE_EASYLOGGINGPP

namespace galenaroad {

namespace {

struct log_identity {
    std::string program;
    std::string instance;
    log_level least = log_level::info;
};

log_identity& identity()
{
    static log_identity value;
    return value;
}

const char* name_of(log_level level)
{
    constexpr std::array<const char*, 4> names{"debug", "info", "warning", "error"};
    return names.at(static_cast<std::size_t>(level));
}

std::string format_time(system_time time)
{
    const auto elapsed = time.time_since_epoch();
    const auto milliseconds =
        std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count();
    const std::time_t seconds = milliseconds / 1000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> text{};
    std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    const auto fraction = std::to_string(1000 + milliseconds % 1000).substr(1);
    return std::string(text.data()) + '.' + fraction + 'Z';
}

} // namespace

void structured_log::configure(std::string program, std::string instance, log_level least)
{
    identity() = {std::move(program), std::move(instance), least};
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::Format, "%msg");
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    el::Loggers::addFlag(el::LoggingFlag::ImmediateFlush);
    el::Loggers::reconfigureLogger("default", configuration);
}

void structured_log::write(const log_entry& entry)
{
    if (entry.level < identity().least) {
        return;
    }
    const bool has_time = entry.at != system_time();
    const auto line = format(entry, has_time ? entry.at : std::chrono::system_clock::now());
    switch (entry.level) {
    case log_level::debug:
    case log_level::info:
        LOG(INFO) << line;
        break;
    case log_level::warning:
        LOG(WARNING) << line;
        break;
    case log_level::error:
        LOG(ERROR) << line;
        break;
    }
}

void structured_log::debug(const std::string& message, const log_fields& fields)
{
    write({log_level::debug, message, {}, {}, fields});
}

void structured_log::info(const std::string& message, const log_fields& fields)
{
    write({log_level::info, message, {}, {}, fields});
}

void structured_log::warning(const std::string& message, const log_fields& fields)
{
    write({log_level::warning, message, {}, {}, fields});
}

void structured_log::error(const std::string& message, const log_fields& fields)
{
    write({log_level::error, message, {}, {}, fields});
}

std::string structured_log::format(const log_entry& entry, system_time now)
{
    nlohmann::ordered_json line{{"time", format_time(now)}, {"level", name_of(entry.level)}};
    if (!identity().program.empty()) {
        line["program"] = identity().program;
    }
    if (!identity().instance.empty()) {
        line["instance"] = identity().instance;
    }
    line["message"] = entry.message;
    if (!entry.request_id.empty()) {
        line["request_id"] = entry.request_id;
    }
    if (!entry.trace_id.empty()) {
        line["trace_id"] = entry.trace_id;
    }
    for (const auto& [key, value] : entry.fields) {
        line[key] = value;
    }
    // Values from callers may not be UTF-8.
    return line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

} // namespace galenaroad
