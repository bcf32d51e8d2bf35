#pragma once

#include "net/http_server.h"
#include "relay/owner_call.h"

#include <chrono>
#include <memory>

namespace galenaroad {

/// Passes a large response on to the client while it arrives from an owner, at the client's speed.
class response_stream {
public:
    /// @param client the client's request; must not have been answered.
    /// @param source the call whose response is passed on.
    response_stream(std::shared_ptr<server_exchange> client, std::shared_ptr<owner_call> source);

    /// Sends the head and what has arrived of the body.
    void begin();

    /// Sends a part of the body, and holds the source up while the client does not keep up.
    void forward(std::string_view bytes);

    /// Completes the response.
    void finish() { m_client->finish(); }

    /// Breaks the response off; the client sees that it is incomplete.
    void abort() { m_client->abort(); }

    /// @param now the current time, when the request's deadline has passed.
    /// @return for how long the response may go on.
    std::chrono::milliseconds grace_period(steady_time now) const;

private:
    std::shared_ptr<server_exchange> m_client;
    std::shared_ptr<owner_call> m_source;
    std::uint64_t m_forwarded_bytes = 0; ///< Bytes of the body.
};

} // namespace galenaroad
