#include "accounts/quota_message.h"

#include "fleet/owner_record_codec.h"

#include <algorithm>
#include <limits>

namespace galenaroad {

namespace {

constexpr unsigned bits_per_byte = 8;

// Integers are encoded with the most significant byte first.
template <typename Integer>
void append(std::string& bytes, Integer value)
{
    for (unsigned shift = sizeof(Integer) * bits_per_byte; shift > 0; shift -= bits_per_byte) {
        bytes += static_cast<char>(static_cast<unsigned char>(value >> (shift - bits_per_byte)));
    }
}

template <typename Integer>
Integer take(std::string_view& bytes)
{
    std::uint64_t value = 0;
    for (const char each : bytes.substr(0, sizeof(Integer))) {
        value = (value << bits_per_byte) | static_cast<unsigned char>(each);
    }
    bytes.remove_prefix(sizeof(Integer));
    return static_cast<Integer>(value);
}

constexpr std::size_t question_head_bytes = 1 + 4 + 4 + 2 + 2;
constexpr std::size_t answer_bytes = 1 + 4 + 4 + 1 + 2 + 2 + 2;

} // namespace

std::string quota_message_codec::encode(const quota_question& question)
{
    std::string bytes(1, question_type);
    append(bytes, question.session);
    append(bytes, question.sequence);
    append(bytes, question.wanted);
    append(bytes, question.returned);
    return bytes + question.account;
}

std::string quota_message_codec::encode(const quota_answer& answer)
{
    std::string bytes(1, answer_type);
    append(bytes, answer.session);
    append(bytes, answer.sequence);
    append(bytes, static_cast<std::uint8_t>(answer.authority));
    append(bytes, answer.granted);
    append(bytes, answer.tokens);
    constexpr std::int64_t max_ms = std::numeric_limits<std::uint16_t>::max();
    append(bytes, static_cast<std::uint16_t>(
                      std::clamp<std::int64_t>(answer.retry_after.count(), 0, max_ms)));
    return bytes;
}

std::string quota_message_codec::encode_forward(const std::string& address,
                                                const quota_question& question)
{
    std::string bytes(1, forward_type);
    append(bytes, static_cast<std::uint8_t>(address.size()));
    return bytes + address + encode(question);
}

std::optional<std::pair<std::string, std::string_view>>
quota_message_codec::decode_forward(std::string_view bytes)
{
    if (bytes.size() < 2 || bytes.front() != forward_type) {
        return {};
    }
    bytes.remove_prefix(1);
    const auto size = take<std::uint8_t>(bytes);
    if (bytes.size() < size) {
        return {};
    }
    return std::pair(std::string(bytes.substr(0, size)), bytes.substr(size));
}

std::optional<quota_question> quota_message_codec::decode_question(std::string_view bytes)
{
    if (bytes.size() <= question_head_bytes || bytes.front() != question_type ||
        bytes.size() > question_head_bytes + max_account_bytes) {
        return {};
    }
    bytes.remove_prefix(1);
    quota_question question;
    question.session = take<std::uint32_t>(bytes);
    question.sequence = take<std::uint32_t>(bytes);
    question.wanted = take<std::uint16_t>(bytes);
    question.returned = take<std::uint16_t>(bytes);
    question.account = std::string(bytes);
    return question;
}

std::optional<quota_answer> quota_message_codec::decode_answer(std::string_view bytes)
{
    if (bytes.size() != answer_bytes || bytes.front() != answer_type) {
        return {};
    }
    bytes.remove_prefix(1);
    quota_answer answer;
    answer.session = take<std::uint32_t>(bytes);
    answer.sequence = take<std::uint32_t>(bytes);
    const auto authority = take<std::uint8_t>(bytes);
    if (authority > static_cast<std::uint8_t>(quota_authority::full)) {
        return {};
    }
    answer.authority = static_cast<quota_authority>(authority);
    answer.granted = take<std::uint16_t>(bytes);
    answer.tokens = take<std::uint16_t>(bytes);
    answer.retry_after = std::chrono::milliseconds(take<std::uint16_t>(bytes));
    return answer;
}

std::string quota_message_codec::encode_handover_question(const owner_record& joined)
{
    return handover_question_type + owner_record_codec::encode(joined);
}

std::optional<owner_record> quota_message_codec::decode_handover_question(std::string_view bytes)
{
    if (bytes.empty() || bytes.front() != handover_question_type) {
        return {};
    }
    return owner_record_codec::decode(bytes.substr(1));
}

std::string quota_message_codec::encode(const handover_answer& answer)
{
    std::string bytes(1, handover_answer_type);
    append(bytes, static_cast<std::uint8_t>(answer.state));
    return bytes + answer.address;
}

std::optional<handover_answer> quota_message_codec::decode_handover_answer(std::string_view bytes)
{
    if (bytes.size() <= 2 || bytes.front() != handover_answer_type) {
        return {};
    }
    bytes.remove_prefix(1);
    const auto state = take<std::uint8_t>(bytes);
    if (state > static_cast<std::uint8_t>(handover_state::never_held)) {
        return {};
    }
    return handover_answer{static_cast<handover_state>(state), std::string(bytes)};
}

} // namespace galenaroad
