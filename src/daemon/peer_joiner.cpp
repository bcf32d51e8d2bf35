#include "daemon/peer_joiner.h"

#include "peer/record_mapping.h"

#include <algorithm>
#include <grpcpp/client_context.h>

namespace galenaroad {

namespace {

using namespace std::chrono_literals;

constexpr auto exchange_interval = 250ms;
constexpr auto exchange_timeout = 500ms;
constexpr int failures_until_dead = 6;

} // namespace

peer_joiner::peer_joiner(client_pool& clients, const snapshot_cell<fleet_view>& view,
                         std::vector<std::string> join_addresses, events on, random_engine random)
    : m_clients(clients),
      m_view(view),
      m_join_addresses(std::move(join_addresses)),
      m_events(std::move(on)),
      m_random(random)
{
}

peer_joiner::~peer_joiner()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void peer_joiner::start()
{
    m_thread = std::thread([this] { run(); });
}

void peer_joiner::notify_all()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_notify = true;
    }
    m_changed.notify_all();
}

void peer_joiner::run()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    while (!m_stopping) {
        m_notify = false;
        lock.unlock();
        exchange_with_all();
        lock.lock();
        m_changed.wait_for(lock, exchange_interval, [this] { return m_notify || m_stopping; });
    }
}

void peer_joiner::exchange_with_all()
{
    const auto view = m_view.load();
    for (const auto& other : view->instances) {
        if (&other == &view->instances.front() || other.state == instance_state::dead) {
            continue;
        }
        if (exchange_with(other.peer_address)) {
            m_failures.erase(other.name);
        }
        else {
            note_failure(other);
        }
    }
    if (view->instances.size() > 1 || m_join_addresses.empty()) {
        return;
    }
    std::shuffle(m_join_addresses.begin(), m_join_addresses.end(), m_random);
    for (const auto& address : m_join_addresses) {
        if (address != view->instances.front().peer_address && exchange_with(address)) {
            return;
        }
    }
}

bool peer_joiner::exchange_with(const std::string& address)
{
    const auto view = m_view.load();
    peer::SynchroniseRequest request;
    *request.mutable_sender() = record_mapping::to_record(view->instances.front());
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + exchange_timeout);
    const auto client = m_clients.client(address);
    const auto reader = client->stub->Synchronise(&context, request);
    std::vector<instance> received;
    peer::SynchroniseResponse part;
    while (reader->Read(&part)) {
        for (const auto& record : part.members()) {
            received.push_back(record_mapping::to_instance(record));
        }
    }
    if (!reader->Finish().ok()) {
        return false;
    }
    m_events.received(std::move(received));
    return true;
}

void peer_joiner::note_failure(const instance& other)
{
    if (++m_failures[other.name] >= failures_until_dead) {
        m_failures.erase(other.name);
        m_events.unreachable(other.name, other.incarnation);
    }
}

} // namespace galenaroad
