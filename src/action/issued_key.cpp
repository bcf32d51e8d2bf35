#include "action/issued_key.h"

#include "base/error_kind.h"

#include <Poco/DigestEngine.h>
#include <Poco/HMACEngine.h>
#include <Poco/SHA1Engine.h>

#include <charconv>
#include <optional>
#include <utility>

namespace galenaroad {

namespace {

constexpr std::string_view key_prefix = "gr1.";
constexpr int number_base = 16;
// 64 bits make it impractical to guess another caller's key.
constexpr std::size_t check_digits = 16;

std::string check_value(const std::string& text, const std::string& secret)
{
    Poco::HMACEngine<Poco::SHA1Engine> engine(secret);
    engine.update(text);
    return Poco::DigestEngine::digestToHex(engine.digest()).substr(0, check_digits);
}

std::string to_text(std::uint64_t number)
{
    char digits[16];
    const auto end = std::to_chars(std::begin(digits), std::end(digits), number, number_base).ptr;
    return {std::begin(digits), end};
}

std::optional<std::uint64_t> to_number(std::string_view text)
{
    std::uint64_t number = 0;
    const auto end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number, number_base);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
        return std::nullopt;
    }
    return number;
}

// Removes and returns the last field. Fields are read from the end, because addresses contain dots.
std::string_view take_last_field(std::string_view& text)
{
    const auto dot = text.rfind('.');
    if (dot == std::string_view::npos) {
        return {};
    }
    const auto field = text.substr(dot + 1);
    text = text.substr(0, dot);
    return field;
}

// Compares in constant time, so that response times do not reveal how much of a guess is correct.
bool equal_in_constant_time(const std::string& a, const std::string& b)
{
    using digest = Poco::DigestEngine::Digest;
    return Poco::DigestEngine::constantTimeEquals(digest(a.begin(), a.end()),
                                                  digest(b.begin(), b.end()));
}

} // namespace

issued_key::issued_key(std::string issuer_address, std::uint64_t incarnation, std::uint64_t serial,
                       const std::string& secret)
    : m_issuer_address(std::move(issuer_address)), m_incarnation(incarnation), m_serial(serial)
{
    m_check = check_value(signed_text(), secret);
}

bool issued_key::is_issued(std::string_view text)
{
    return text.substr(0, key_prefix.size()) == key_prefix;
}

result<issued_key> issued_key::parse(const std::string& text)
{
    if (!is_issued(text)) {
        return tl::unexpected(make_error_code(error_kind::invalid_request));
    }
    auto rest = std::string_view(text).substr(key_prefix.size());
    issued_key key;
    key.m_check = take_last_field(rest);
    const auto serial = to_number(take_last_field(rest));
    const auto incarnation = to_number(take_last_field(rest));
    const bool complete = serial && incarnation && !rest.empty();
    if (!complete || key.m_check.size() != check_digits) {
        return tl::unexpected(make_error_code(error_kind::invalid_request));
    }
    key.m_issuer_address = rest;
    key.m_serial = *serial;
    key.m_incarnation = *incarnation;
    return key;
}

bool issued_key::is_authentic(const std::string& secret) const
{
    return equal_in_constant_time(m_check, check_value(signed_text(), secret));
}

std::string issued_key::text() const
{
    return signed_text() + "." + m_check;
}

std::string issued_key::signed_text() const
{
    return std::string(key_prefix) + m_issuer_address + "." + to_text(m_incarnation) + "." +
           to_text(m_serial);
}

} // namespace galenaroad
