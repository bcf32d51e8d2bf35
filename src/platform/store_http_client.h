#pragma once

#include "base/clock.h"
#include "base/result.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace galenaroad {

class store_http_session;

/// Where a store listens, and how long calls to it may take.
struct store_endpoint {
    std::string host; ///< IP number.
    std::uint16_t port = 0;
    std::chrono::milliseconds connect_timeout{500};
    std::chrono::milliseconds response_timeout{2000};
    /// Shorter than the idle time after which servers usually close a connection.
    std::chrono::milliseconds idle_timeout{5000};
    std::size_t idle_connections = 8;
};

/// Precondition of a request (RFC 9110, section 13).
struct store_precondition {
    std::string if_match;       ///< Expected entity tag; empty for none.
    bool if_none_match = false; ///< True for `If-None-Match: *`.
};

/// A request to a store.
struct store_request {
    std::string method;
    std::string target; ///< Percent-encoded path and query.
    store_precondition precondition;
    std::string body;
    std::string content_type;
};

/// A complete response of a store.
struct store_response {
    int status = 0;
    std::string tag; ///< Value of the ETag header.
    std::string body;
};

/// HTTP client with kept connections, shared by the store adapters. Safe for use by several
/// threads; no lock is held during an exchange.
class store_http_client {
public:
    /// @param endpoint where the store listens.
    /// @param time the clock that ages idle connections; must outlive the client.
    store_http_client(store_endpoint endpoint, const clock& time);
    store_http_client(const store_http_client&) = delete;
    store_http_client& operator=(const store_http_client&) = delete;
    store_http_client(store_http_client&&) = delete;
    store_http_client& operator=(store_http_client&&) = delete;
    ~store_http_client();

    /// Sends a request and waits for its complete response.
    /// @param request the request.
    /// @return the response; `store_unavailable` when nothing was sent; or `outcome_unknown` when
    /// the request may have been received.
    result<store_response> exchange(const store_request& request);

    /// Percent-encodes one segment of a path or one value of a query.
    /// @param text the text.
    /// @return the encoded text, without reserved characters.
    static std::string encoded(const std::string& text);

private:
    struct idle_session {
        std::unique_ptr<store_http_session> session;
        steady_time since;
    };

    std::unique_ptr<store_http_session> take_session();
    void keep_session(std::unique_ptr<store_http_session> session);

    const store_endpoint m_endpoint;
    const clock& m_clock;
    std::mutex m_mutex;
    std::vector<idle_session> m_idle;
};

} // namespace galenaroad
