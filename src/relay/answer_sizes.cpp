#include "relay/answer_sizes.h"

namespace galenaroad {

namespace {

constexpr double latest_weight = 0.2;
constexpr double default_bytes = 5000;
constexpr double default_download_bytes = 100'000;

} // namespace

double answer_sizes::expected(const route_rule& route) const
{
    const auto known = m_averages.find(route.name);
    if (known != m_averages.end()) {
        return known->second;
    }
    return route.kind == request_kind::download ? default_download_bytes : default_bytes;
}

void answer_sizes::note(const route_rule& route, std::size_t bytes)
{
    if (m_averages.size() >= max_routes && m_averages.count(route.name) == 0) {
        m_averages.clear();
    }
    const auto size = static_cast<double>(bytes);
    const auto [known, is_new] = m_averages.try_emplace(route.name, size);
    if (!is_new) {
        known->second += (size - known->second) * latest_weight;
    }
}

} // namespace galenaroad
