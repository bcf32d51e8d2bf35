#include "health/outlier_detector.h"

#include "health/hold_timer.h"
#include "health/peer_group.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace galenaroad {

namespace {

constexpr std::chrono::seconds sample_lifetime{10};
// Share of the evidence threshold from which an upstream is suspect and its preference is lowered.
constexpr double suspect_share = 1.0 / 3;
// Share of the evidence threshold from which an upstream counts as deviating from its peers.
constexpr double deviating_share = 0.5;
// If a greater share of the upstreams deviates, the service as a whole has changed.
constexpr double max_deviating_share = 0.25;
// Owners exchange statistics for references every second, and more often while suspect.
constexpr std::chrono::seconds reference_lifetime{3};
// Owners report their statistics within this time after a change, so that a reference received
// later shows whether the whole service has changed.
constexpr std::chrono::milliseconds reference_settling{300};
constexpr double min_suspect_preference = 0.08;
constexpr double min_service_change_preference = 0.25;
constexpr std::array<request_class, upstream_window::class_count> all_classes{
    request_class::read, request_class::action, request_class::transfer};

const char* class_name(request_class work)
{
    switch (work) {
    case request_class::read:
        return "read";
    case request_class::action:
        return "action";
    case request_class::transfer:
        break;
    }
    return "transfer";
}

std::vector<steady_time> starts_of(const std::vector<open_attempt>& open, request_class work)
{
    std::vector<steady_time> starts;
    for (const open_attempt& attempt : open) {
        if (attempt.work == work) {
            starts.push_back(attempt.started);
        }
    }
    std::sort(starts.begin(), starts.end());
    return starts;
}

// Decreases from 1 to min_suspect_preference as the evidence approaches the threshold.
double suspect_preference(double evidence, double threshold)
{
    const double start = threshold * suspect_share;
    const double progress = std::clamp((evidence - start) / (threshold - start), 0.0, 1.0);
    return 1.0 - progress * (1.0 - min_suspect_preference);
}

double recent_ratio(const upstream_window& window, request_class work, steady_time now,
                    const peer_reference& peers)
{
    const auto recent = window.totals(work, now).latency;
    if (recent.count == 0) {
        return 1;
    }
    return std::exp(recent.log_sum / static_cast<double>(recent.count) - peers.log_time);
}

void classify(health_verdict& verdict, double threshold)
{
    const double evidence = verdict.evidence();
    if (evidence >= threshold) {
        verdict.state = health_state::unhealthy;
        verdict.preference = outlier_detector::unhealthy_preference;
    }
    else if (evidence >= threshold * suspect_share) {
        verdict.state = health_state::suspect;
        verdict.preference = suspect_preference(evidence, threshold);
    }
}

} // namespace

double health_verdict::evidence() const
{
    return std::max(failure_evidence, latency_evidence);
}

std::string health_verdict::reason() const
{
    std::array<char, 160> text{};
    std::snprintf(text.data(), text.size(),
                  "%s: failure evidence %.1f, latency evidence %.1f, %.1f times the peers' median,"
                  " %zu samples",
                  class_name(work), failure_evidence, latency_evidence, latency_ratio, samples);
    return text.data();
}

outlier_detector::outlier_detector(const detection_settings& settings) : m_settings(settings) {}

void outlier_detector::on_announced(const upstream_id& id, steady_time now)
{
    candidate& announced = m_candidates[id];
    announced = candidate{};
    announced.warm_at = now + hold_timer::cold_start_time;
}

void outlier_detector::assume_warm(const upstream_id& id)
{
    m_candidates[id].warm_at = steady_time{};
}

void outlier_detector::on_departed(const upstream_id& id)
{
    m_candidates.erase(id);
}

void outlier_detector::record(const upstream_id& id, const observation& attempt, steady_time now)
{
    const auto found = m_candidates.find(id);
    if (found == m_candidates.end()) {
        return;
    }
    candidate& known = found->second;
    known.window.record(attempt, now, attempt.started >= known.warm_at);
}

void outlier_detector::set_open_attempts(const upstream_id& id, std::vector<open_attempt> open)
{
    const auto found = m_candidates.find(id);
    if (found != m_candidates.end()) {
        found->second.open = std::move(open);
    }
}

void outlier_detector::discard_evidence(const upstream_id& id)
{
    const auto found = m_candidates.find(id);
    if (found != m_candidates.end()) {
        found->second.window.clear();
        found->second.open.clear();
    }
}

void outlier_detector::set_reference(const upstream_id& id, request_class work,
                                     const peer_reference& reference, steady_time now)
{
    const auto found = m_candidates.find(id);
    if (found != m_candidates.end()) {
        found->second.received[static_cast<std::size_t>(work)] = {reference, now, true};
    }
}

std::map<upstream_id, health_verdict> outlier_detector::evaluate(steady_time now)
{
    std::map<upstream_id, health_verdict> verdicts;
    for (auto& [id, known] : m_candidates) {
        known.window.expire_samples(now - sample_lifetime);
        verdicts.emplace(id, health_verdict{});
    }
    for (const request_class work : all_classes) {
        evaluate_class(work, now, verdicts);
    }
    classify_all(verdicts);
    return verdicts;
}

void outlier_detector::evaluate_class(request_class work, steady_time now,
                                      std::map<upstream_id, health_verdict>& verdicts) const
{
    peer_group group(work);
    for (const auto& [id, known] : m_candidates) {
        group.add(known.window, now);
    }
    std::size_t position = 0;
    for (const auto& [id, known] : m_candidates) {
        const health_verdict evaluated = evaluate_upstream(known, group, position++, work, now);
        if (evaluated.evidence() > verdicts[id].evidence()) {
            verdicts[id] = evaluated;
        }
    }
}

health_verdict outlier_detector::evaluate_upstream(const candidate& known, const peer_group& group,
                                                   std::size_t position, request_class work,
                                                   steady_time now) const
{
    health_verdict verdict;
    verdict.work = work;
    const auto& samples = known.window.samples(work);
    std::vector<steady_time> open;
    if (now >= known.warm_at) {
        open = starts_of(known.open, work);
    }
    if (samples.empty() && open.empty()) {
        return verdict;
    }
    const auto& received = known.received[static_cast<std::size_t>(work)];
    auto reference = group.recent_reference(position);
    if (!reference && received.is_set && now - received.received_at < reference_lifetime) {
        reference = received.reference;
    }
    if (!reference) {
        return verdict;
    }
    const sequential_ratio first(m_settings, *reference);
    const test_evidence failures =
        confirm(first.failures(samples), group, position, received,
                [&](const sequential_ratio& test) { return test.failures(samples); });
    const test_evidence latencies =
        confirm(first.latencies(samples, open, now), group, position, received,
                [&](const sequential_ratio& test) { return test.latencies(samples, open, now); });
    verdict.failure_evidence = failures.value;
    verdict.latency_evidence = latencies.value;
    verdict.samples = failures.value > latencies.value ? failures.samples : latencies.samples;
    if (verdict.evidence() > 0) {
        verdict.latency_ratio = recent_ratio(known.window, work, now, *reference);
    }
    if (samples.size() + open.size() < m_settings.min_samples) {
        limit_to_suspect(verdict);
    }
    return verdict;
}

test_evidence outlier_detector::confirm(
    test_evidence found, const peer_group& group, std::size_t position,
    const received_reference& received,
    const std::function<test_evidence(const sequential_ratio&)>& run_test) const
{
    if (found.value < m_settings.evidence_threshold * suspect_share) {
        return found;
    }
    auto same_period = group.reference_since(position, found.since);
    if (!same_period && received.is_set &&
        received.received_at >= found.since + reference_settling) {
        same_period = received.reference;
    }
    if (!same_period) {
        found.value = std::min(found.value, suspect_limit());
        return found;
    }
    const test_evidence confirmed = run_test(sequential_ratio(m_settings, *same_period));
    return confirmed.value < found.value ? confirmed : found;
}

double outlier_detector::suspect_limit() const
{
    return m_settings.evidence_threshold * (1.0 - 1e-9);
}

void outlier_detector::limit_to_suspect(health_verdict& verdict) const
{
    verdict.failure_evidence = std::min(verdict.failure_evidence, suspect_limit());
    verdict.latency_evidence = std::min(verdict.latency_evidence, suspect_limit());
}

void outlier_detector::classify_all(std::map<upstream_id, health_verdict>& verdicts) const
{
    std::size_t deviating = 0;
    for (auto& [id, verdict] : verdicts) {
        classify(verdict, m_settings.evidence_threshold);
        const double share = verdict.evidence() / m_settings.evidence_threshold;
        deviating += share >= deviating_share ? 1U : 0U;
    }
    const double limit = std::max(1.0, max_deviating_share * static_cast<double>(verdicts.size()));
    if (static_cast<double>(deviating) <= limit) {
        return;
    }
    for (auto& [id, verdict] : verdicts) {
        if (verdict.state != health_state::healthy) {
            verdict.state = health_state::suspect;
            verdict.preference = std::max(verdict.preference, min_service_change_preference);
        }
    }
}

const upstream_window* outlier_detector::window(const upstream_id& id) const
{
    const auto found = m_candidates.find(id);
    return found == m_candidates.end() ? nullptr : &found->second.window;
}

} // namespace galenaroad
