#include "telemetry/decision_log.h"

#include <algorithm>

namespace galenaroad {

namespace {

// Entries are written together, so that each costs no wake-up of its own.
constexpr auto write_interval = std::chrono::milliseconds(250);

} // namespace

decision_log::decision_log(const clock& time, decision_log_limits limits)
    : m_clock(time),
      m_limits(limits),
      m_tokens(limits.burst),
      m_refilled_at(time.steady_now()),
      m_thread([this] { run(); })
{
}

decision_log::~decision_log()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_stopping = true;
    }
    m_wake.notify_one();
    m_thread.join();
}

void decision_log::note(const char* decision, const std::string& request_id, log_fields fields)
{
    note(decision, request_id, std::move(fields), 0);
}

void decision_log::note_refusal(const char* decision, const std::string& request_id,
                                log_fields fields)
{
    note(decision, request_id, std::move(fields), m_limits.burst / 2);
}

void decision_log::note(const char* decision, const std::string& request_id, log_fields fields,
                        double reserved_tokens)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (!admit(reserved_tokens)) {
        ++m_dropped;
        return;
    }
    push({log_level::info, decision, request_id, {}, std::move(fields), m_clock.system_now()});
}

void decision_log::note_state(const char* event, log_fields fields)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    push({log_level::warning, event, {}, {}, std::move(fields), m_clock.system_now()});
}

std::uint64_t decision_log::dropped() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_dropped;
}

bool decision_log::admit(double reserved_tokens)
{
    const auto now = m_clock.steady_now();
    const std::chrono::duration<double> passed = now - m_refilled_at;
    m_refilled_at = now;
    m_tokens = std::min(m_limits.burst, m_tokens + passed.count() * m_limits.entries_per_second);
    if (m_tokens < 1 + reserved_tokens) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

void decision_log::push(log_entry entry)
{
    if (m_queue.size() >= m_limits.queue_entries) {
        ++m_dropped;
        return;
    }
    m_queue.push_back(std::move(entry));
    // The writer sleeps without a limit only while the queue is empty.
    if (m_queue.size() == 1) {
        m_wake.notify_one();
    }
}

void decision_log::run()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    while (true) {
        m_wake.wait(lock, [this] { return m_stopping || !m_queue.empty(); });
        if (!m_stopping) {
            m_wake.wait_for(lock, write_interval, [this] { return m_stopping; });
        }
        std::vector<log_entry> batch;
        batch.swap(m_queue);
        const auto dropped = m_dropped - m_reported;
        m_reported = m_dropped;
        const bool ends = m_stopping;
        lock.unlock();
        for (const auto& entry : batch) {
            structured_log::write(entry);
        }
        if (dropped > 0) {
            structured_log::warning("log_entries_dropped", {{"count", std::to_string(dropped)}});
        }
        if (ends) {
            return;
        }
        lock.lock();
    }
}

} // namespace galenaroad
