#pragma once

#include "health/observation.h"

#include <array>
#include <cstdint>
#include <deque>
#include <vector>

namespace galenaroad {

/// Service times of a window: geometric mean and spread, which heavy tails distort least.
struct latency_summary {
    std::uint64_t count = 0;
    double log_sum = 0;        ///< Sum of the natural logarithms of the times in milliseconds.
    double log_square_sum = 0; ///< Sum of their squares.

    /// @return the geometric mean, or zero for an empty summary.
    std::chrono::nanoseconds geometric_mean() const;
};

/// Counts of one request class.
struct window_totals {
    std::uint64_t successes = 0;
    std::uint64_t failures = 0;
    std::uint64_t shed = 0;
    latency_summary latency;

    /// @return successes and failures; shed attempts are not part of the sample.
    std::uint64_t evaluated() const { return successes + failures; }
};

/// Attempt kept for the sequential tests, in units that the tests use.
struct attempt_sample {
    steady_time started;
    double log_time = 0; ///< Natural logarithm of the service time in milliseconds.
    bool failed = false;
};

/// Recent attempts at one upstream by request class: 1 s buckets over 10 s, and the last samples.
class upstream_window {
public:
    static constexpr std::chrono::seconds bucket_width{1};
    static constexpr std::size_t bucket_count = 10;
    static constexpr std::size_t class_count = 3;
    /// Samples kept by class. The tests decide within fewer than 64 attempts.
    static constexpr std::size_t sample_limit = 128;

    /// Adds an attempt that ended.
    /// @param attempt the attempt.
    /// @param now the time at which it ended.
    /// @param is_evidence whether the attempt becomes a sample for the tests.
    void record(const observation& attempt, steady_time now, bool is_evidence = true);

    /// Sums up the last buckets.
    /// @param work the request class.
    /// @param now the current time.
    /// @param span how far to look back; at most the length of the window.
    /// @return the totals of the class.
    window_totals totals(request_class work, steady_time now,
                         std::chrono::seconds span = bucket_width * bucket_count) const;

    /// @param work the request class.
    /// @return the samples of the class in the order in which the attempts started.
    const std::deque<attempt_sample>& samples(request_class work) const;

    /// Drops samples that started before a time.
    /// @param oldest the earliest start to keep.
    void expire_samples(steady_time oldest);

    /// Drops everything that was recorded.
    void clear();

private:
    struct bucket {
        std::int64_t number = -1; ///< Bucket widths since the clock's epoch.
        std::array<window_totals, class_count> classes;
    };

    bucket& bucket_at(std::int64_t number);

    std::array<bucket, bucket_count> m_buckets;
    std::array<std::deque<attempt_sample>, class_count> m_samples;
};

/// @param time a service time.
/// @return the natural logarithm of the time in milliseconds.
double log_milliseconds(std::chrono::nanoseconds time);

} // namespace galenaroad
