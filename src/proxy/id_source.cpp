#include "proxy/id_source.h"

#include <cstdint>

namespace galenaroad {

namespace {

std::string to_hex(std::uint64_t value)
{
    constexpr auto digits = "0123456789abcdef";
    std::string text(16, '0');
    for (auto place = text.rbegin(); place != text.rend(); ++place) {
        *place = digits[value & 0xfU];
        value >>= 4U;
    }
    return text;
}

} // namespace

id_source::id_source(random_engine engine) : m_engine(engine) {}

std::string id_source::request_id()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto high = m_engine();
    const auto low = m_engine();
    return to_hex(high) + to_hex(low);
}

std::uint64_t id_source::seed()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_engine();
}

} // namespace galenaroad
