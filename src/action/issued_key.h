#pragma once

#include "base/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace galenaroad {

/// Idempotency key issued by a daemon: `gr1.<instance address>.<incarnation>.<serial>.<check>`.
class issued_key {
public:
    /// Creates a key and computes its check value.
    /// @param issuer_address IP address and port of the issuer's gRPC listener.
    /// @param incarnation the issuer's incarnation.
    /// @param serial number of the key within the incarnation.
    /// @param secret the issuer's secret.
    issued_key(std::string issuer_address, std::uint64_t incarnation, std::uint64_t serial,
               const std::string& secret);

    /// Returns whether a key has the form of a key that a daemon issued.
    /// @param text the key.
    /// @return true for a key that should be passed to parse().
    static bool is_issued(std::string_view text);

    /// Parses a key. The check value is not verified, because only the issuer knows the secret.
    /// @param text the key.
    /// @return the key, or `invalid_request`.
    static result<issued_key> parse(const std::string& text);

    /// Verifies the check value.
    /// @param secret the issuer's secret.
    /// @return true when the check value was computed with the secret.
    bool is_authentic(const std::string& secret) const;

    /// @return the key's text.
    std::string text() const;

    const std::string& issuer_address() const { return m_issuer_address; }
    std::uint64_t incarnation() const { return m_incarnation; }
    std::uint64_t serial() const { return m_serial; }

private:
    issued_key() = default;

    std::string signed_text() const;

    std::string m_issuer_address;
    std::uint64_t m_incarnation = 0;
    std::uint64_t m_serial = 0;
    std::string m_check;
};

} // namespace galenaroad
