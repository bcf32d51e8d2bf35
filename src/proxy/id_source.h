#pragma once

#include "base/random_engine.h"

#include <mutex>
#include <string>

namespace galenaroad {

/// Makes request ids and seeds from one seeded engine. Thread-safe.
class id_source {
public:
    /// @param engine the seeded engine.
    explicit id_source(random_engine engine);

    /// @return 32 hexadecimal digits.
    std::string request_id();

    /// @return the seed of an engine for one request.
    std::uint64_t seed();

private:
    std::mutex m_mutex;
    random_engine m_engine;
};

} // namespace galenaroad
