#include "daemon/peer_messenger.h"

#include "peer/statistics_codec.h"

#include <grpcpp/client_context.h>
#include <memory>
#include <thread>

namespace galenaroad {

namespace {

using namespace std::chrono_literals;

constexpr auto report_timeout = 300ms;
constexpr auto connect_timeout = 300ms;
constexpr auto exchange_timeout = 2s;
constexpr auto idle_interval = 1h;

/// A level report on its way; lives until its call has ended.
struct pending_report {
    std::shared_ptr<const peer_client> client;
    grpc::ClientContext context;
    peer::LevelReport message;
    peer::LevelResponse response;
};

} // namespace

peer_messenger::peer_messenger(client_pool& clients, const message_codec& codec, events on)
    : m_clients(clients),
      m_codec(codec),
      m_events(std::move(on)),
      m_member_thread(idle_interval, [] {}),
      m_contract_thread(idle_interval, [] {})
{
}

void peer_messenger::report(const outgoing_statistics_report& outgoing)
{
    auto pending = std::make_shared<pending_report>();
    pending->client = m_clients.client(outgoing.address);
    pending->message = statistics_codec::encode(outgoing.report);
    pending->context.set_deadline(std::chrono::system_clock::now() + report_timeout);
    ++m_open_reports;
    pending->client->stub->async()->ReportLevels(
        &pending->context, &pending->message, &pending->response,
        [this, pending](const grpc::Status& status) {
            if (status.ok()) {
                m_events.references(statistics_codec::decode(pending->message),
                                    statistics_codec::decode(pending->response));
            }
            --m_open_reports;
        });
}

void peer_messenger::exchange(outgoing_synchronise outgoing)
{
    m_member_thread.post([this, outgoing = std::move(outgoing)] {
        synchronise(outgoing.address, message_codec::encode(outgoing.request),
                    [&](const auto& piece) {
                        m_events.members(outgoing.address, m_codec.decode_members(piece));
                    });
    });
}

void peer_messenger::fetch(outgoing_fetch outgoing)
{
    m_contract_thread.post([this, outgoing = std::move(outgoing)] {
        synchronise(
            outgoing.address, message_codec::encode(outgoing.request), [&](const auto& piece) {
                m_events.contracts(outgoing.address, message_codec::decode_contracts(piece));
            });
    });
}

void peer_messenger::stop()
{
    // Each report ends by its deadline at the latest, and its end uses this object.
    while (m_open_reports.load() > 0) {
        std::this_thread::sleep_for(1ms);
    }
    m_member_thread.stop();
    m_contract_thread.stop();
}

void peer_messenger::synchronise(const std::string& address,
                                 const peer::SynchroniseRequest& request, const piece_hook& piece)
{
    const auto client = m_clients.client(address);
    if (!client->connect(connect_timeout)) {
        m_clients.discard(client);
        return;
    }
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + exchange_timeout);
    const auto reader = client->stub->Synchronise(&context, request);
    peer::SynchroniseResponse received;
    while (reader->Read(&received)) {
        piece(received);
    }
    reader->Finish();
}

} // namespace galenaroad
