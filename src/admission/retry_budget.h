#pragma once

namespace galenaroad {

/// Token bucket that limits retries to a share of the requests of one service.
///
/// It starts empty, so that the number of attempts never exceeds 1.1 times the number of requests.
class retry_budget {
public:
    /// Tokens that each request adds; a retry costs one token.
    static constexpr double tokens_per_request = 0.1;
    static constexpr double max_tokens = 10.0;

    /// Adds the tokens for one new request.
    void record_request();

    /// Takes the token for one retry.
    /// @return false when the budget is exhausted.
    bool take();

    /// @return the number of tokens in the bucket.
    double tokens() const { return m_tokens; }

private:
    double m_tokens = 0.0;
};

} // namespace galenaroad
