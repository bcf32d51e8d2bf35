#include "load/response_size_estimator.h"

namespace galenaroad {

namespace {

constexpr double smoothing_factor = 0.2;
constexpr double default_bytes = 5000;
constexpr double default_download_bytes = 100'000;

} // namespace

double response_size_estimator::expected_bytes(const route_rule& route) const
{
    const auto average = m_averages.find(route.name);
    if (average != m_averages.end()) {
        return average->second;
    }
    return route.kind == request_kind::download ? default_download_bytes : default_bytes;
}

void response_size_estimator::record(const route_rule& route, std::size_t bytes)
{
    if (m_averages.size() >= max_routes && m_averages.count(route.name) == 0) {
        m_averages.clear();
    }
    const auto size = static_cast<double>(bytes);
    const auto [average, is_new] = m_averages.try_emplace(route.name, size);
    if (!is_new) {
        average->second += (size - average->second) * smoothing_factor;
    }
}

} // namespace galenaroad
