#pragma once

#include "telemetry/span.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace galenaroad {

/// Appends spans to a file as OTLP/JSON, one object with `resourceSpans` a line.
///
/// A background thread writes, so that no request waits for the disk. The queue is bounded: spans
/// that arrive while it is full are dropped and counted.
class span_writer {
public:
    /// Spans that wait to be written; about 4 MB of memory when full.
    static constexpr std::size_t default_queue_spans = 8192;

    /// @param path file to append to; empty discards all spans.
    /// @param service_name program that writes the spans.
    /// @param instance name of the instance.
    /// @param queue_spans greatest number of spans that wait.
    span_writer(const std::string& path, std::string service_name, std::string instance,
                std::size_t queue_spans = default_queue_spans);
    span_writer(const span_writer&) = delete;
    span_writer& operator=(const span_writer&) = delete;
    span_writer(span_writer&&) = delete;
    span_writer& operator=(span_writer&&) = delete;

    /// Writes what waits, then ends the thread.
    ~span_writer();

    /// Queues a span; never blocks on the file.
    /// @param finished the span.
    void write(span finished);

    /// Waits until all spans queued so far are in the file.
    void flush();

    /// @return number of spans that were dropped: queue full or file not writable.
    std::uint64_t dropped() const { return m_dropped; }

    /// @return true when the file could be opened.
    bool writable() const { return m_file >= 0; }

private:
    void run();
    void write_batch(const std::vector<span>& batch);

    const std::string m_service_name;
    const std::string m_instance;
    const std::size_t m_queue_spans;
    int m_file = -1;
    std::atomic<std::uint64_t> m_dropped{0};
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::condition_variable m_written;
    std::vector<span> m_queue;
    std::uint64_t m_queued_count = 0;
    std::uint64_t m_written_count = 0;
    bool m_flush_requested = false;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace galenaroad
