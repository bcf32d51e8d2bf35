#pragma once

#include "health/observation.h"
#include "model/upstream.h"

#include <cstdint>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace galenaroad {

/// An attempt that has not ended, with the upstream that runs it.
struct running_attempt {
    service_id service;
    upstream_id target;
    open_attempt attempt;
    bool by_owner = false; ///< Listed beside the upstream, not by a caller.
};

/// Attempts of this daemon that have not ended. Thread-safe.
///
/// An upstream that stopped answering shows up by the age of its open attempts, long before they
/// time out.
class open_attempt_table {
public:
    /// Adds an attempt for as long as it lives.
    class guard {
    public:
        /// @param table where the attempt is listed.
        /// @param attempt the attempt.
        guard(open_attempt_table& table, running_attempt attempt);
        guard(const guard&) = delete;
        guard& operator=(const guard&) = delete;
        guard(guard&&) = delete;
        guard& operator=(guard&&) = delete;
        ~guard();

    private:
        open_attempt_table& m_table;
        std::uint64_t m_number;
    };

    /// @return the attempts that are open now.
    std::vector<running_attempt> attempts() const;

private:
    mutable std::mutex m_mutex;
    std::uint64_t m_next = 0;
    std::unordered_map<std::uint64_t, running_attempt> m_attempts;
};

} // namespace galenaroad
