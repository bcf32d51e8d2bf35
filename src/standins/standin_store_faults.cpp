#include "standins/standin_store_faults.h"

#include <thread>

namespace galenaroad {

namespace {

bool is_share(const nlohmann::json& value)
{
    return value.is_number() && value.get<double>() >= 0 && value.get<double>() <= 1;
}

bool is_count(const nlohmann::json& value)
{
    return value.is_number_integer() && value.get<std::int64_t>() >= 0;
}

bool is_valid_setting(const std::string& name, const nlohmann::json& value)
{
    if (name == "unavailable") {
        return value.is_boolean();
    }
    if (name == "lost_responses") {
        return is_share(value);
    }
    return (name == "latency_ms" || name == "seed") && is_count(value);
}

} // namespace

bool standin_store_faults::apply(const nlohmann::json& document)
{
    if (!document.is_object()) {
        return false;
    }
    for (const auto& [name, value] : document.items()) {
        if (!is_valid_setting(name, value)) {
            return false;
        }
    }
    const std::lock_guard lock(m_mutex);
    m_unavailable = document.value("unavailable", m_unavailable);
    m_latency = std::chrono::milliseconds(document.value("latency_ms", m_latency.count()));
    m_lost_responses = document.value("lost_responses", m_lost_responses);
    if (document.contains("seed")) {
        m_seed = document["seed"].get<std::uint64_t>();
        m_random.seed(m_seed);
    }
    return true;
}

nlohmann::json standin_store_faults::settings() const
{
    const std::lock_guard lock(m_mutex);
    return {{"unavailable", m_unavailable},
            {"latency_ms", m_latency.count()},
            {"lost_responses", m_lost_responses},
            {"seed", m_seed}};
}

nlohmann::json standin_store_faults::counters() const
{
    return {{"reads", m_reads.load()}, {"writes", m_writes.load()}};
}

store_faults standin_store_faults::hooks()
{
    store_faults faults;
    faults.delay = [this](const store_call& call) {
        count(call);
        wait();
    };
    faults.fail_before_effect = [this](const store_call&) {
        const std::lock_guard lock(m_mutex);
        return m_unavailable;
    };
    faults.lose_response = [this](const store_call&) { return lose_response(); };
    return faults;
}

void standin_store_faults::count(const store_call& call)
{
    ++(is_write(call.operation) ? m_writes : m_reads);
}

void standin_store_faults::wait() const
{
    std::chrono::milliseconds latency{0};
    {
        const std::lock_guard lock(m_mutex);
        latency = m_latency;
    }
    std::this_thread::sleep_for(latency);
}

bool standin_store_faults::lose_response()
{
    const std::lock_guard lock(m_mutex);
    return m_lost_responses > 0 &&
           std::uniform_real_distribution<>(0, 1)(m_random) < m_lost_responses;
}

} // namespace galenaroad
