#pragma once

#include <memory>
#include <string>
#include <string_view>

struct XXH3_state_s;

namespace galenaroad {

/// Digest (XXH3, 128 bits) of a request's method, path and body, to which an idempotency key is
/// bound.
class request_digest {
public:
    /// @param method the request's method.
    /// @param target the request's path and query.
    request_digest(std::string_view method, std::string_view target);
    request_digest(const request_digest&) = delete;
    request_digest& operator=(const request_digest&) = delete;
    request_digest(request_digest&& other) noexcept = default;
    request_digest& operator=(request_digest&& other) noexcept = default;
    ~request_digest() = default;

    /// Appends the next part of the body.
    /// @param chunk the bytes.
    void append_body(std::string_view chunk);

    /// @return the digest of the data so far, as 32 hexadecimal digits.
    std::string text() const;

private:
    struct state_deleter {
        void operator()(XXH3_state_s* state) const;
    };

    void append_field(std::string_view field);

    std::unique_ptr<XXH3_state_s, state_deleter> m_state;
};

} // namespace galenaroad
