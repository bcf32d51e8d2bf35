#pragma once

#include <grpcpp/security/credentials.h>
#include <grpcpp/security/server_credentials.h>
#include <memory>

namespace galenaroad {

/// The single place that creates the credentials of connections between daemons.
class channel_security {
public:
    /// @return the credentials of outgoing channels.
    static std::shared_ptr<grpc::ChannelCredentials> client();

    /// @return the credentials of the listener.
    static std::shared_ptr<grpc::ServerCredentials> server();
};

} // namespace galenaroad
