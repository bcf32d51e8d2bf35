#pragma once

#include "peer.grpc.pb.h"

#include <functional>
#include <grpcpp/server_context.h>
#include <grpcpp/support/sync_stream.h>

namespace galenaroad {

/// Stream of a forwarded request as the owner sees it.
using forward_stream = grpc::ServerReaderWriter<peer::ForwardResponse, peer::ForwardRequest>;

/// What a daemon does with the calls of its peers. Each hook runs on a gRPC thread.
struct peer_handlers {
    std::function<void(grpc::ServerContext&, forward_stream&)> forward;
    std::function<void(grpc::ServerContext&, forward_stream&)> issued_action;
    std::function<peer::FenceResponse(const peer::FenceRequest&)> fence;
    std::function<peer::LevelResponse(const peer::LevelReport&)> levels;
    /// Called by `Synchronise` for each part of the response; returns false when the peer is gone.
    using synchronise_writer = std::function<bool(const peer::SynchroniseResponse&)>;
    std::function<void(const peer::SynchroniseRequest&, const synchronise_writer&)> synchronise;
};

} // namespace galenaroad
