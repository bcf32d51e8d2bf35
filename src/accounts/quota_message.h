#pragma once

#include "fleet/owner_record.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace galenaroad {

/// Asks a daemon for tokens of an account. A repeated question has the same number.
struct quota_question {
    std::uint32_t session = 0; ///< Differs in each start of the asking daemon.
    std::uint32_t sequence = 0;
    std::uint16_t wanted = 0;
    std::uint16_t returned = 0; ///< Tokens of earlier answers that were not used.
    std::string account;
};

/// Who has answered a question.
enum class quota_authority : std::uint8_t {
    none,   ///< Not a holder of the account: another daemon is to be asked.
    deputy, ///< One that may only grant a part of the tolerance, since the holder may exist.
    full,   ///< The holder.
};

/// Answer to a question.
struct quota_answer {
    std::uint32_t session = 0;
    std::uint32_t sequence = 0;
    quota_authority authority = quota_authority::none;
    std::uint16_t granted = 0;
    std::uint16_t tokens = 0;                 ///< Left in the bucket.
    std::chrono::milliseconds retry_after{0}; ///< When there is a token for the next request.
};

/// Whether a daemon has ceased to hold the accounts for which a daemon that joins ranks before it.
enum class handover_state : std::uint8_t {
    not_yet,    ///< It may still hold them.
    done,       ///< It no longer does.
    never_held, ///< It has joined lately itself, so that another one may hold them.
};

/// Response to the question for a handover.
struct handover_answer {
    handover_state state = handover_state::not_yet;
    std::string address; ///< Of the daemon that responds.
};

/// Encodes and decodes the messages between daemons on quotas, each for one datagram. Their first
/// byte differs from that of other datagrams.
class quota_message_codec {
public:
    static constexpr char question_type = 'Q';
    static constexpr char answer_type = 'A';
    static constexpr char forward_type = 'F';
    static constexpr char handover_question_type = 'H';
    static constexpr char handover_answer_type = 'Y';
    static constexpr std::size_t max_account_bytes = 255;

    static std::string encode(const quota_question& question);
    static std::string encode(const quota_answer& answer);

    /// Encodes a question that its receiver passes on.
    /// @param address address of the daemon that is asked.
    static std::string encode_forward(const std::string& address, const quota_question& question);

    /// @return the address and the encoded question, or nothing when the bytes are not that.
    static std::optional<std::pair<std::string, std::string_view>>
    decode_forward(std::string_view bytes);

    /// @return the question, or nothing when the bytes are not one.
    static std::optional<quota_question> decode_question(std::string_view bytes);

    /// @return the answer, or nothing when the bytes are not one.
    static std::optional<quota_answer> decode_answer(std::string_view bytes);

    /// Encodes the question for a handover.
    /// @param joined record of the daemon that asks, which the other one may not know.
    static std::string encode_handover_question(const owner_record& joined);

    /// @return the record of the daemon that asks, or nothing when the bytes are no such question.
    static std::optional<owner_record> decode_handover_question(std::string_view bytes);

    static std::string encode(const handover_answer& answer);

    /// @return the answer, or nothing when the bytes are not one.
    static std::optional<handover_answer> decode_handover_answer(std::string_view bytes);
};

} // namespace galenaroad
