#include "fleet/client_account.h"

#include <Poco/SHA2Engine.h>
#include <algorithm>

namespace galenaroad {

namespace {

constexpr std::string_view hex_digits = "0123456789abcdef";
constexpr unsigned bits_per_digit = 4;
constexpr unsigned digit_mask = 0xF;

} // namespace

api_key_digest api_key_digest::of(std::string_view key)
{
    Poco::SHA2Engine engine(Poco::SHA2Engine::SHA_256);
    engine.update(key.data(), static_cast<unsigned>(key.size()));
    const auto& digest = engine.digest();
    api_key_digest result;
    std::copy_n(digest.begin(), size, result.m_bytes.begin());
    return result;
}

std::optional<api_key_digest> api_key_digest::from_hex(std::string_view hex)
{
    if (hex.size() != 2 * size) {
        return {};
    }
    api_key_digest result;
    for (std::size_t each = 0; each < hex.size(); ++each) {
        const auto value = hex_digits.find(hex[each]);
        if (value == std::string_view::npos) {
            return {};
        }
        auto& byte = result.m_bytes[each / 2];
        byte = static_cast<std::uint8_t>((byte << bits_per_digit) | value);
    }
    return result;
}

api_key_digest api_key_digest::from_bytes(std::string_view bytes)
{
    api_key_digest result;
    std::copy_n(bytes.begin(), size, result.m_bytes.begin());
    return result;
}

std::string api_key_digest::hex() const
{
    std::string text;
    text.reserve(2 * size);
    for (const unsigned byte : m_bytes) {
        text += hex_digits[byte >> bits_per_digit];
        text += hex_digits[byte & digit_mask];
    }
    return text;
}

} // namespace galenaroad
