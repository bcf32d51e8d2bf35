#pragma once

#include "peer/peer_handlers.h"

namespace galenaroad {

/// Passes the calls of other daemons on to the handlers.
class peer_service : public peer::Peer::Service {
public:
    /// @param handlers the hooks; a call without a hook is answered as unimplemented.
    explicit peer_service(peer_handlers handlers);

    grpc::Status Forward(grpc::ServerContext* context, forward_stream* stream) override;
    grpc::Status IssuedAction(grpc::ServerContext* context, forward_stream* stream) override;
    grpc::Status FenceAttempt(grpc::ServerContext* context, const peer::FenceRequest* request,
                              peer::FenceResponse* response) override;
    grpc::Status ReportLevels(grpc::ServerContext* context, const peer::LevelReport* request,
                              peer::LevelResponse* response) override;
    grpc::Status Synchronise(grpc::ServerContext* context, const peer::SynchroniseRequest* request,
                             grpc::ServerWriter<peer::SynchroniseResponse>* writer) override;

private:
    peer_handlers m_handlers;
};

} // namespace galenaroad
