#include "telemetry/trace_context.h"

#include <cstdint>

namespace galenaroad {

namespace {

constexpr std::size_t trace_id_digits = 32;
constexpr std::size_t span_id_digits = 16;
constexpr std::size_t header_size = 55;
constexpr unsigned sampled_flag = 1;

std::string random_id(random_engine& engine, std::size_t digits)
{
    static const char* const hexadecimal = "0123456789abcdef";
    std::string id;
    while (id.size() < digits) {
        std::uint64_t bits = engine();
        for (std::size_t i = 0; i < span_id_digits; ++i, bits >>= 4U) {
            id += hexadecimal[bits & 15U];
        }
    }
    // An identifier of zeros is invalid.
    id.back() = id.find_first_not_of('0') == std::string::npos ? '1' : id.back();
    return id;
}

bool is_hexadecimal(std::string_view text)
{
    return text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

bool is_identifier(std::string_view text)
{
    return is_hexadecimal(text) && text.find_first_not_of('0') != std::string_view::npos;
}

} // namespace

trace_context trace_context::start(random_engine& engine)
{
    trace_context context;
    context.m_trace_id = random_id(engine, trace_id_digits);
    context.m_span_id = random_id(engine, span_id_digits);
    return context;
}

std::optional<trace_context> trace_context::parse(std::string_view header)
{
    const bool has_shape =
        header.size() >= header_size && header[2] == '-' && header[35] == '-' && header[52] == '-';
    if (!has_shape) {
        return std::nullopt;
    }
    const auto version = header.substr(0, 2);
    const auto flags = header.substr(53, 2);
    // Later versions may append members after a further hyphen; version 00 has none.
    const bool has_valid_end =
        header.size() == header_size || (version != "00" && header[header_size] == '-');
    const bool is_valid = is_hexadecimal(version) && version != "ff" && is_hexadecimal(flags) &&
                          has_valid_end && is_identifier(header.substr(3, trace_id_digits)) &&
                          is_identifier(header.substr(36, span_id_digits));
    if (!is_valid) {
        return std::nullopt;
    }
    trace_context context;
    context.m_trace_id = header.substr(3, trace_id_digits);
    context.m_span_id = header.substr(36, span_id_digits);
    context.m_sampled = (std::stoul(std::string(flags), nullptr, 16) & sampled_flag) != 0;
    return context;
}

trace_context trace_context::continue_from(std::string_view header, random_engine& engine)
{
    const auto caller = parse(header);
    return caller ? caller->child(engine) : start(engine);
}

trace_context trace_context::child(random_engine& engine) const
{
    trace_context context = *this;
    context.m_parent_span_id = m_span_id;
    context.m_span_id = random_id(engine, span_id_digits);
    return context;
}

std::string trace_context::header() const
{
    return "00-" + m_trace_id + '-' + m_span_id + (m_sampled ? "-01" : "-00");
}

} // namespace galenaroad
