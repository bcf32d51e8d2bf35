#include "health/upstream_window.h"

#include <algorithm>
#include <cmath>

namespace galenaroad {

namespace {

// Shorter times are within the resolution of the clocks and would dominate on a logarithmic scale.
constexpr double min_milliseconds = 0.01;

std::int64_t bucket_number(steady_time time)
{
    return time.time_since_epoch() / upstream_window::bucket_width;
}

void add_latency(latency_summary& summary, double log_time)
{
    ++summary.count;
    summary.log_sum += log_time;
    summary.log_square_sum += log_time * log_time;
}

void add_totals(window_totals& sum, const window_totals& part)
{
    sum.successes += part.successes;
    sum.failures += part.failures;
    sum.shed += part.shed;
    sum.latency.count += part.latency.count;
    sum.latency.log_sum += part.latency.log_sum;
    sum.latency.log_square_sum += part.latency.log_square_sum;
}

void insert_by_start(std::deque<attempt_sample>& samples, const attempt_sample& sample)
{
    auto place = samples.end();
    while (place != samples.begin() && std::prev(place)->started > sample.started) {
        --place;
    }
    samples.insert(place, sample);
    if (samples.size() > upstream_window::sample_limit) {
        samples.pop_front();
    }
}

} // namespace

double log_milliseconds(std::chrono::nanoseconds time)
{
    const double milliseconds = std::chrono::duration<double, std::milli>(time).count();
    return std::log(std::max(milliseconds, min_milliseconds));
}

std::chrono::nanoseconds latency_summary::geometric_mean() const
{
    if (count == 0) {
        return std::chrono::nanoseconds(0);
    }
    const std::chrono::duration<double, std::milli> mean(
        std::exp(log_sum / static_cast<double>(count)));
    return std::chrono::duration_cast<std::chrono::nanoseconds>(mean);
}

void upstream_window::record(const observation& attempt, steady_time now, bool is_evidence)
{
    window_totals& totals =
        bucket_at(bucket_number(now)).classes[static_cast<std::size_t>(attempt.work)];
    if (attempt.outcome == attempt_outcome::shed) {
        ++totals.shed;
        return;
    }
    const bool failed = attempt.outcome == attempt_outcome::failure;
    const double log_time = log_milliseconds(attempt.service_time);
    ++(failed ? totals.failures : totals.successes);
    if (!failed) {
        add_latency(totals.latency, log_time);
    }
    if (is_evidence) {
        insert_by_start(m_samples[static_cast<std::size_t>(attempt.work)],
                        {attempt.started, log_time, failed});
    }
}

window_totals upstream_window::totals(request_class work, steady_time now,
                                      std::chrono::seconds span) const
{
    const std::int64_t newest = bucket_number(now);
    const std::int64_t oldest = newest - span / bucket_width;
    window_totals sum;
    for (const bucket& part : m_buckets) {
        if (part.number > oldest && part.number <= newest) {
            add_totals(sum, part.classes[static_cast<std::size_t>(work)]);
        }
    }
    return sum;
}

const std::deque<attempt_sample>& upstream_window::samples(request_class work) const
{
    return m_samples[static_cast<std::size_t>(work)];
}

void upstream_window::expire_samples(steady_time oldest)
{
    for (auto& samples : m_samples) {
        while (!samples.empty() && samples.front().started < oldest) {
            samples.pop_front();
        }
    }
}

void upstream_window::clear()
{
    m_buckets = {};
    m_samples = {};
}

upstream_window::bucket& upstream_window::bucket_at(std::int64_t number)
{
    bucket& found = m_buckets[static_cast<std::size_t>(number) % bucket_count];
    if (found.number != number) {
        found = bucket{};
        found.number = number;
    }
    return found;
}

} // namespace galenaroad
