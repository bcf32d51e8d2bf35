#include "fleet/relay_message_codec.h"

#include <array>
#include <nlohmann/json.hpp>

namespace galenaroad {

namespace {

using json = nlohmann::json;

// First element of each message; messages of another version are not decoded.
constexpr int message_version = 1;

constexpr std::array<std::string_view, 14> reason_names{"none",
                                                        "unknown_upstream",
                                                        "draining",
                                                        "stopping",
                                                        "in_doubt",
                                                        "busy",
                                                        "no_allowance",
                                                        "expired",
                                                        "unreachable",
                                                        "connection_lost",
                                                        "invalid_response",
                                                        "cancelled",
                                                        "never_received",
                                                        "forgotten"};

/// Writes a message as an array without field names: it is sent with each request, and the names
/// would be the greater part of it.
class message_writer {
public:
    message_writer() { m_array.push_back(message_version); }

    template <typename Value>
    message_writer& add(const Value& value)
    {
        m_array.push_back(value);
        return *this;
    }

    message_writer& add(std::chrono::milliseconds value) { return add(value.count()); }

    message_writer& add(bool value) { return add(value ? 1 : 0); }

    template <typename Enum>
    message_writer& add_enum(Enum value)
    {
        return add(static_cast<int>(value));
    }

    std::string text() const { return m_array.dump(); }

private:
    json m_array = json::array();
};

/// Reads the elements of a message in the order in which they were written.
/// Throws json::exception or std::out_of_range when the message is not valid.
class message_reader {
public:
    explicit message_reader(const json& array) : m_array(array)
    {
        if (next<int>() != message_version) {
            throw std::out_of_range("version");
        }
    }

    template <typename Value>
    Value next()
    {
        return m_array.at(m_position++).template get<Value>();
    }

    std::chrono::milliseconds next_duration()
    {
        return std::chrono::milliseconds(next<std::int64_t>());
    }

    bool next_flag() { return next<int>() != 0; }

    /// @return false at the end, as in messages of daemons that do not know the latest fields.
    bool has_next() const { return m_position < m_array.size(); }

    template <typename Enum>
    Enum next_enum(Enum last)
    {
        const int value = next<int>();
        if (value < 0 || value > static_cast<int>(last)) {
            throw std::out_of_range("enumeration");
        }
        return static_cast<Enum>(value);
    }

private:
    const json& m_array;
    std::size_t m_position = 0;
};

attempt_metadata metadata_from(message_reader& reader)
{
    attempt_metadata metadata;
    metadata.attempt_id = reader.next<std::string>();
    metadata.service = reader.next<std::string>();
    metadata.route = reader.next<std::string>();
    metadata.caller_service = reader.next<std::string>();
    metadata.entry_address = reader.next<std::string>();
    metadata.remaining = reader.next_duration();
    metadata.objective_remaining = reader.next_duration();
    metadata.kind = reader.next_enum(request_kind::upload);
    metadata.may_wait = reader.next_flag();
    metadata.attempt = reader.next<int>();
    metadata.may_retry = reader.next_flag();
    metadata.retry_is_granted = reader.next_flag();
    metadata.priority = reader.next<int>();
    metadata.plan_version = reader.next<std::uint64_t>();
    if (reader.has_next()) {
        metadata.account = reader.next<std::string>();
    }
    if (reader.has_next()) {
        metadata.may_be_interrupted = reader.next_flag();
    }
    return metadata;
}

attempt_report report_from(message_reader& reader)
{
    attempt_report report;
    report.result = reader.next_enum(owner_result::failed);
    report.reason = reader.next_enum(owner_reason::forgotten);
    report.failing_percent = reader.next<int>();
    report.load_percent = reader.next<int>();
    report.retry_after = reader.next_duration();
    report.plan_version = reader.next<std::uint64_t>();
    report.token = reader.next<std::string>();
    report.grants_retry = reader.next_flag();
    if (reader.has_next()) {
        report.accepts_only_retryable = reader.next_flag();
    }
    return report;
}

response_query query_from(message_reader& reader)
{
    response_query query;
    query.attempt_id = reader.next<std::string>();
    query.token = reader.next<std::string>();
    return query;
}

template <typename Message>
std::optional<Message> decode(std::string_view text, Message (*from)(message_reader&))
{
    const auto value = json::parse(text, nullptr, false);
    if (!value.is_array()) {
        return {};
    }
    try {
        message_reader reader(value);
        return from(reader);
    }
    catch (const json::exception&) {
        return {};
    }
    catch (const std::out_of_range&) {
        return {};
    }
}

} // namespace

std::string_view reason_name(owner_reason reason)
{
    return reason_names.at(static_cast<std::size_t>(reason));
}

bool accepts_requests(const attempt_report& report)
{
    const bool has_stopped =
        report.reason == owner_reason::stopping && !report.accepts_only_retryable;
    return !has_stopped && report.reason != owner_reason::draining &&
           report.reason != owner_reason::unknown_upstream;
}

std::string relay_message_codec::encode(const attempt_metadata& metadata)
{
    return message_writer()
        .add(metadata.attempt_id)
        .add(metadata.service)
        .add(metadata.route)
        .add(metadata.caller_service)
        .add(metadata.entry_address)
        .add(metadata.remaining)
        .add(metadata.objective_remaining)
        .add_enum(metadata.kind)
        .add(metadata.may_wait)
        .add(metadata.attempt)
        .add(metadata.may_retry)
        .add(metadata.retry_is_granted)
        .add(metadata.priority)
        .add(metadata.plan_version)
        .add(metadata.account)
        .add(metadata.may_be_interrupted)
        .text();
}

std::string relay_message_codec::encode(const attempt_report& report)
{
    return message_writer()
        .add_enum(report.result)
        .add_enum(report.reason)
        .add(report.failing_percent)
        .add(report.load_percent)
        .add(report.retry_after)
        .add(report.plan_version)
        .add(report.token)
        .add(report.grants_retry)
        .add(report.accepts_only_retryable)
        .text();
}

std::string relay_message_codec::encode(const response_query& query)
{
    return message_writer().add(query.attempt_id).add(query.token).text();
}

std::optional<attempt_metadata> relay_message_codec::decode_metadata(std::string_view text)
{
    return decode<attempt_metadata>(text, metadata_from);
}

std::optional<attempt_report> relay_message_codec::decode_report(std::string_view text)
{
    return decode<attempt_report>(text, report_from);
}

std::optional<response_query> relay_message_codec::decode_query(std::string_view text)
{
    return decode<response_query>(text, query_from);
}

} // namespace galenaroad
