#pragma once

#include "health/observation.h"

#include <array>
#include <cstdint>
#include <deque>
#include <vector>

namespace galenaroad {

/// Service times of a window on a logarithmic scale, which heavy tails distort less.
struct latency_summary {
    std::uint64_t count = 0;
    double log_sum = 0;        ///< Sum of the natural logarithms of the times in milliseconds.
    double log_square_sum = 0; ///< Sum of their squares.

    /// @return the geometric mean, or zero for an empty summary.
    std::chrono::nanoseconds geometric_mean() const;
};

/// Attempts of one request class.
struct window_totals {
    std::uint64_t successes = 0;
    std::uint64_t failures = 0;
    std::uint64_t shed = 0;
    latency_summary latency;

    /// @return successes and failures; shed attempts are not evaluated.
    std::uint64_t evaluated() const { return successes + failures; }
};

/// An attempt as the sequential tests use it.
struct attempt_sample {
    steady_time started;
    double log_time = 0; ///< Natural logarithm of the service time in milliseconds.
    bool failed = false;
};

/// Recent attempts at one upstream by request class: totals in buckets of 1 s over 10 s, and
/// samples of the latest attempts.
class upstream_window {
public:
    static constexpr std::chrono::seconds bucket_width{1};
    static constexpr std::size_t bucket_count = 10;
    static constexpr std::size_t class_count = 3;
    /// Maximum number of samples per request class. The tests need fewer than 64 attempts to
    /// decide.
    static constexpr std::size_t sample_limit = 128;

    /// Records an attempt that ended.
    /// @param attempt the attempt.
    /// @param now the time at which it ended.
    /// @param is_evidence whether the attempt becomes a sample for the tests.
    void record(const observation& attempt, steady_time now, bool is_evidence = true);

    /// Sums up the latest buckets.
    /// @param work the request class.
    /// @param now the current time.
    /// @param span how far to look back; at most the length of the window.
    /// @return the totals of the class.
    window_totals totals(request_class work, steady_time now,
                         std::chrono::seconds span = bucket_width * bucket_count) const;

    /// @param work the request class.
    /// @return the samples of the class in the order in which the attempts started.
    const std::deque<attempt_sample>& samples(request_class work) const;

    /// Removes samples of attempts that started before a time.
    /// @param oldest the earliest start time to keep.
    void expire_samples(steady_time oldest);

    /// Removes all recorded attempts.
    void clear();

private:
    struct bucket {
        std::int64_t number = -1; ///< Number of bucket widths since the clock's epoch.
        std::array<window_totals, class_count> classes;
    };

    bucket& bucket_at(std::int64_t number);

    std::array<bucket, bucket_count> m_buckets;
    std::array<std::deque<attempt_sample>, class_count> m_samples;
};

/// Converts a service time to the logarithmic scale of the samples.
/// @param time a service time.
/// @return the natural logarithm of the time in milliseconds.
double log_milliseconds(std::chrono::nanoseconds time);

} // namespace galenaroad
