#include "peer/peer_server.h"

#include "base/error_kind.h"
#include "peer/channel_security.h"
#include "peer/peer_limits.h"

#include <grpcpp/resource_quota.h>
#include <grpcpp/server_builder.h>

namespace galenaroad {

peer_server::peer_server(peer_handlers handlers, int max_threads)
    : m_service(std::move(handlers)), m_max_threads(max_threads)
{
}

result<std::string> peer_server::start(const std::string& address)
{
    int port = 0;
    grpc::ResourceQuota quota("peer_server");
    quota.SetMaxThreads(m_max_threads);
    grpc::ServerBuilder builder;
    builder.AddListeningPort(address, channel_security::server(), &port);
    builder.RegisterService(&m_service);
    builder.SetResourceQuota(quota);
    builder.SetMaxReceiveMessageSize(max_peer_message_bytes);
    builder.SetSyncServerOption(grpc::ServerBuilder::NUM_CQS, 1);
    builder.SetSyncServerOption(grpc::ServerBuilder::MAX_POLLERS, 4);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_BDP_PROBE, 0);
    // Clients ping to detect silent connections; the library's default would reject them as abuse.
    builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS,
                               static_cast<int>(peer_keepalive_interval.count() / 2));
    builder.AddChannelArgument(GRPC_ARG_HTTP2_MAX_PING_STRIKES, 0);
    m_server = builder.BuildAndStart();
    if (!m_server || port == 0) {
        return tl::make_unexpected(make_error_code(error_kind::settings_invalid));
    }
    return address.substr(0, address.rfind(':') + 1) + std::to_string(port);
}

void peer_server::stop(std::chrono::milliseconds grace)
{
    if (m_server) {
        m_server->Shutdown(std::chrono::system_clock::now() + grace);
        m_server->Wait();
    }
}

} // namespace galenaroad
