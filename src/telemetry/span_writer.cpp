#include "telemetry/span_writer.h"

#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace galenaroad {

namespace {

using json = nlohmann::json;

/// How long spans wait for others, so that several are written at once.
constexpr auto batch_interval = std::chrono::milliseconds(200);
constexpr int error_status = 2; // STATUS_CODE_ERROR of OTLP.

std::string nanoseconds_text(system_time time)
{
    const auto elapsed = time.time_since_epoch();
    return std::to_string(std::chrono::duration_cast<std::chrono::nanoseconds>(elapsed).count());
}

json attribute_json(const std::string& key, const attribute_value& value)
{
    json member;
    if (const auto* text = std::get_if<std::string>(&value)) {
        member["stringValue"] = *text;
    }
    else if (const auto* number = std::get_if<std::int64_t>(&value)) {
        // OTLP/JSON carries 64-bit integers as text.
        member["intValue"] = std::to_string(*number);
    }
    else {
        member["boolValue"] = std::get<bool>(value);
    }
    return {{"key", key}, {"value", std::move(member)}};
}

json span_json(const span& value)
{
    json attributes = json::array();
    for (const auto& [key, attribute] : value.attributes) {
        attributes.push_back(attribute_json(key, attribute));
    }
    json object{{"traceId", value.context.trace_id()},
                {"spanId", value.context.span_id()},
                {"name", value.name},
                {"kind", static_cast<int>(value.kind)},
                {"startTimeUnixNano", nanoseconds_text(value.start)},
                {"endTimeUnixNano", nanoseconds_text(value.end)},
                {"attributes", std::move(attributes)}};
    if (!value.context.parent_span_id().empty()) {
        object["parentSpanId"] = value.context.parent_span_id();
    }
    if (!value.error.empty()) {
        object["status"] = {{"code", error_status}, {"message", value.error}};
    }
    return object;
}

bool write_all(int file, const std::string& text)
{
    std::size_t done = 0;
    while (done < text.size()) {
        const auto count = ::write(file, text.data() + done, text.size() - done);
        if (count < 0 && errno != EINTR) {
            return false;
        }
        done += count < 0 ? 0 : static_cast<std::size_t>(count);
    }
    return true;
}

} // namespace

span_writer::span_writer(const std::string& path, std::string service_name, std::string instance,
                         std::size_t queue_spans)
    : m_service_name(std::move(service_name)),
      m_instance(std::move(instance)),
      m_queue_spans(queue_spans)
{
    if (path.empty()) {
        return;
    }
    m_file = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (m_file >= 0) {
        m_thread = std::thread([this] { run(); });
    }
}

span_writer::~span_writer()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_wake.notify_one();
    if (m_thread.joinable()) {
        m_thread.join();
    }
    if (m_file >= 0) {
        ::close(m_file);
    }
}

void span_writer::write(span finished)
{
    const std::lock_guard lock(m_mutex);
    if (m_file < 0 || m_queue.size() >= m_queue_spans) {
        ++m_dropped;
        return;
    }
    m_queue.push_back(std::move(finished));
    ++m_queued_count;
}

void span_writer::flush()
{
    std::unique_lock lock(m_mutex);
    if (m_file < 0) {
        return;
    }
    const auto target = m_queued_count;
    m_flush_requested = true;
    m_wake.notify_one();
    m_written.wait(lock, [&] { return m_written_count >= target; });
}

void span_writer::run()
{
    std::unique_lock lock(m_mutex);
    bool is_last = false;
    while (!is_last) {
        m_wake.wait_for(lock, batch_interval, [this] { return m_stopping || m_flush_requested; });
        is_last = m_stopping;
        m_flush_requested = false;
        std::vector<span> batch;
        batch.swap(m_queue);
        lock.unlock();
        write_batch(batch);
        lock.lock();
        m_written_count += batch.size();
        m_written.notify_all();
    }
}

void span_writer::write_batch(const std::vector<span>& batch)
{
    if (batch.empty()) {
        return;
    }
    json spans = json::array();
    for (const auto& value : batch) {
        spans.push_back(span_json(value));
    }
    const json resource{{"attributes",
                         {attribute_json("service.name", m_service_name),
                          attribute_json("service.instance.id", m_instance)}}};
    const json scope{{"scope", {{"name", "galenaroad"}}}, {"spans", std::move(spans)}};
    const json line{{"resourceSpans", {{{"resource", resource}, {"scopeSpans", {scope}}}}}};
    // Header values of callers may not be UTF-8.
    const auto text = line.dump(-1, ' ', false, json::error_handler_t::replace) + '\n';
    if (!write_all(m_file, text)) {
        m_dropped += batch.size();
    }
}

} // namespace galenaroad
