#include "standins/standin_backend_server_faults.h"

#include <cmath>

namespace galenaroad {

namespace {

/// Standard deviation of the logarithm of a service time.
constexpr double latency_spread = 0.2;

bool is_known(const std::string& key)
{
    return standin_backend_server_faults().json().contains(key);
}

/// @throws nlohmann::json::exception when a value has the wrong type.
standin_fault_settings merged(standin_fault_settings settings, const nlohmann::json& value)
{
    settings.latency_factor = value.value("latency_factor", settings.latency_factor);
    settings.extra_latency =
        std::chrono::milliseconds(value.value("extra_latency_ms", settings.extra_latency.count()));
    settings.failure_share = value.value("failure_share", settings.failure_share);
    settings.silent = value.value("silent", settings.silent);
    settings.truncate = value.value("truncate", settings.truncate);
    settings.lying_health = value.value("lying_health", settings.lying_health);
    settings.frozen = value.value("frozen", settings.frozen);
    settings.seed = value.value("seed", settings.seed);
    return settings;
}

bool is_valid(const standin_fault_settings& settings)
{
    return std::isfinite(settings.latency_factor) && settings.latency_factor >= 0.0 &&
           settings.extra_latency.count() >= 0 && settings.failure_share >= 0.0 &&
           settings.failure_share <= 1.0;
}

} // namespace

std::string standin_backend_server_faults::apply(const std::string& text)
{
    const auto value = nlohmann::json::parse(text, nullptr, false);
    if (!value.is_object()) {
        return "the body must be a JSON object";
    }
    for (const auto& member : value.items()) {
        if (!is_known(member.key())) {
            return "unknown fault " + member.key();
        }
    }
    try {
        const std::lock_guard lock(m_mutex);
        const auto settings = merged(m_settings, value);
        if (!is_valid(settings)) {
            return "a value is out of range";
        }
        m_settings = settings;
        if (value.contains("seed")) {
            m_engine.seed(settings.seed);
        }
    }
    catch (const nlohmann::json::exception& error) {
        return error.what();
    }
    return {};
}

nlohmann::json standin_backend_server_faults::json() const
{
    const auto value = settings();
    return {{"latency_factor", value.latency_factor},
            {"extra_latency_ms", value.extra_latency.count()},
            {"failure_share", value.failure_share},
            {"silent", value.silent},
            {"truncate", value.truncate},
            {"lying_health", value.lying_health},
            {"frozen", value.frozen},
            {"seed", value.seed}};
}

standin_fault_settings standin_backend_server_faults::settings() const
{
    const std::lock_guard lock(m_mutex);
    return m_settings;
}

std::chrono::microseconds
standin_backend_server_faults::draw_latency(std::chrono::microseconds service_time)
{
    const std::lock_guard lock(m_mutex);
    std::lognormal_distribution<double> variation(0.0, latency_spread);
    const double factor = variation(m_engine) * m_settings.latency_factor;
    const double mean = static_cast<double>(service_time.count());
    return std::chrono::microseconds(std::llround(mean * factor)) + m_settings.extra_latency;
}

bool standin_backend_server_faults::draw(double share)
{
    const std::lock_guard lock(m_mutex);
    return std::bernoulli_distribution(share)(m_engine);
}

} // namespace galenaroad
