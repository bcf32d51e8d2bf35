#include "relay/response_stream.h"

#include "relay/body_grace_period.h"
#include "relay/entry_response_builder.h"

#include <algorithm>

namespace galenaroad {

namespace {

constexpr std::size_t max_unsent_bytes = std::size_t{256} * 1024;
// At the deadline a response may be about to end, even if its framing does not give its length.
constexpr std::chrono::milliseconds min_grace_period(250);

} // namespace

response_stream::response_stream(std::shared_ptr<server_exchange> client,
                                 std::shared_ptr<owner_call> source)
    : m_client(std::move(client)), m_source(std::move(source))
{
}

void response_stream::begin()
{
    m_client->begin(entry_response_builder::forwarded(m_source->head()));
    m_source->stream_body();
}

void response_stream::forward(std::string_view bytes)
{
    m_forwarded_bytes += bytes.size();
    m_client->write(bytes);
    if (m_client->unsent() <= max_unsent_bytes) {
        return;
    }
    m_source->pause(true);
    const std::weak_ptr<owner_call> weak = m_source;
    m_client->on_drained([weak] {
        if (const auto source = weak.lock()) {
            source->pause(false);
        }
    });
}

std::chrono::milliseconds response_stream::grace_period(steady_time now) const
{
    const body_progress progress{m_source->head().framing, m_forwarded_bytes,
                                 now - m_client->received_at()};
    return std::max(body_grace_period::for_progress(progress), min_grace_period);
}

} // namespace galenaroad
