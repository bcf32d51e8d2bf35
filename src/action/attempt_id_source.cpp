#include "action/attempt_id_source.h"

#include <cinttypes>
#include <cstdio>
#include <utility>

namespace galenaroad {

attempt_id_source::attempt_id_source(daemon_identity daemon, random_engine random)
    : m_daemon(std::move(daemon)), m_random(random)
{
}

std::string attempt_id_source::next()
{
    std::uint64_t serial = 0;
    std::uint64_t random = 0;
    {
        const std::lock_guard lock(m_mutex);
        serial = ++m_serial;
        random = m_random();
    }
    char suffix[64];
    std::snprintf(suffix, sizeof suffix, "-%" PRIx64 "-%" PRIx64 "-%016" PRIx64,
                  m_daemon.incarnation, serial, random);
    return m_daemon.instance + suffix;
}

} // namespace galenaroad
