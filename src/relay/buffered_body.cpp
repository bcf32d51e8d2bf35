#include "relay/buffered_body.h"

#include <utility>

namespace galenaroad {

buffered_body::buffered_body(buffer_budget& budget, std::size_t max_bytes)
    : m_budget(&budget), m_max_bytes(max_bytes)
{
}

buffered_body::buffered_body(buffered_body&& other) noexcept
    : m_budget(other.m_budget),
      m_max_bytes(other.m_max_bytes),
      m_text(std::exchange(other.m_text, {}))
{
}

buffered_body& buffered_body::operator=(buffered_body&& other) noexcept
{
    if (this != &other) {
        take();
        m_budget = other.m_budget;
        m_max_bytes = other.m_max_bytes;
        m_text = std::exchange(other.m_text, {});
    }
    return *this;
}

buffered_body::~buffered_body()
{
    take();
}

bool buffered_body::append(std::string_view bytes)
{
    if (bytes.size() > m_max_bytes - m_text.size() || !m_budget->reserve(bytes.size())) {
        return false;
    }
    m_text.append(bytes);
    return true;
}

std::string buffered_body::take()
{
    if (m_budget != nullptr) {
        m_budget->release(m_text.size());
    }
    return std::exchange(m_text, {});
}

} // namespace galenaroad
