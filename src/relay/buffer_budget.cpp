#include "relay/buffer_budget.h"

namespace galenaroad {

bool buffer_budget::reserve(std::size_t bytes)
{
    if (bytes > m_max_bytes - m_used_bytes) {
        return false;
    }
    m_used_bytes += bytes;
    return true;
}

} // namespace galenaroad
