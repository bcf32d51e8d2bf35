#include "peer/peer_service.h"

namespace galenaroad {

namespace {

grpc::Status unimplemented()
{
    return {grpc::StatusCode::UNIMPLEMENTED, "This daemon does not handle the call"};
}

} // namespace

peer_service::peer_service(peer_handlers handlers) : m_handlers(std::move(handlers)) {}

grpc::Status peer_service::Forward(grpc::ServerContext* context, forward_stream* stream)
{
    if (!m_handlers.forward) {
        return unimplemented();
    }
    m_handlers.forward(*context, *stream);
    return grpc::Status::OK;
}

grpc::Status peer_service::IssuedAction(grpc::ServerContext* context, forward_stream* stream)
{
    if (!m_handlers.issued_action) {
        return unimplemented();
    }
    m_handlers.issued_action(*context, *stream);
    return grpc::Status::OK;
}

grpc::Status peer_service::FenceAttempt(grpc::ServerContext* /*context*/,
                                        const peer::FenceRequest* request,
                                        peer::FenceResponse* response)
{
    if (!m_handlers.fence) {
        return unimplemented();
    }
    *response = m_handlers.fence(*request);
    return grpc::Status::OK;
}

grpc::Status peer_service::ReportLevels(grpc::ServerContext* /*context*/,
                                        const peer::LevelReport* request,
                                        peer::LevelResponse* response)
{
    if (!m_handlers.levels) {
        return unimplemented();
    }
    *response = m_handlers.levels(*request);
    return grpc::Status::OK;
}

grpc::Status peer_service::Synchronise(grpc::ServerContext* /*context*/,
                                       const peer::SynchroniseRequest* request,
                                       grpc::ServerWriter<peer::SynchroniseResponse>* writer)
{
    if (!m_handlers.synchronise) {
        return unimplemented();
    }
    m_handlers.synchronise(*request, [writer](const auto& part) { return writer->Write(part); });
    return grpc::Status::OK;
}

} // namespace galenaroad
