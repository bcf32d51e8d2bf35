#include "peer/channel_security.h"

namespace galenaroad {

std::shared_ptr<grpc::ChannelCredentials> channel_security::client()
{
    return grpc::InsecureChannelCredentials();
}

std::shared_ptr<grpc::ServerCredentials> channel_security::server()
{
    return grpc::InsecureServerCredentials();
}

} // namespace galenaroad
