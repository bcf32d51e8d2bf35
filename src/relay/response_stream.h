#pragma once

#include "net/http_server.h"
#include "relay/owner_call.h"

#include <chrono>
#include <memory>

namespace galenaroad {

/// Streams a large response from an owner to the client, at the speed at which the client reads.
class response_stream {
public:
    /// @param client the client's request; no response to it may have begun.
    /// @param source the call whose response is streamed.
    response_stream(std::shared_ptr<server_exchange> client, std::shared_ptr<owner_call> source);

    /// Sends the head and the part of the body that has arrived.
    void begin();

    /// Sends a part of the body, and pauses the source while the client reads too slowly.
    void forward(std::string_view bytes);

    /// Completes the response.
    void finish() { m_client->finish(); }

    /// Aborts the response; the client sees that it is incomplete.
    void abort() { m_client->abort(); }

    /// @param now the current time; the request's deadline has passed.
    /// @return for how long the response may continue.
    std::chrono::milliseconds grace_period(steady_time now) const;

private:
    std::shared_ptr<server_exchange> m_client;
    std::shared_ptr<owner_call> m_source;
    std::uint64_t m_forwarded_bytes = 0; ///< Bytes of the body.
};

} // namespace galenaroad
