#include "action/request_digest.h"

#include <xxhash.h>

#include <cstdint>
#include <cstdio>

namespace galenaroad {

void request_digest::state_deleter::operator()(XXH3_state_s* state) const
{
    XXH3_freeState(state);
}

request_digest::request_digest(std::string_view method, std::string_view target)
    : m_state(XXH3_createState())
{
    XXH3_128bits_reset(m_state.get());
    append_field(method);
    append_field(target);
}

void request_digest::append_body(std::string_view chunk)
{
    XXH3_128bits_update(m_state.get(), chunk.data(), chunk.size());
}

std::string request_digest::text() const
{
    const auto hash = XXH3_128bits_digest(m_state.get());
    char digits[33];
    std::snprintf(digits, sizeof digits, "%016llx%016llx",
                  static_cast<unsigned long long>(hash.high64),
                  static_cast<unsigned long long>(hash.low64));
    return digits;
}

// The length before each field distinguishes requests whose concatenated fields are equal.
void request_digest::append_field(std::string_view field)
{
    const std::uint64_t size = field.size();
    XXH3_128bits_update(m_state.get(), &size, sizeof size);
    XXH3_128bits_update(m_state.get(), field.data(), field.size());
}

} // namespace galenaroad
