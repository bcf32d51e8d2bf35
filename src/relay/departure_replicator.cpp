#include "relay/departure_replicator.h"

#include "fleet/departure_record.h"
#include "fleet/owner_record_codec.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace galenaroad {

namespace {

using namespace std::chrono_literals;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

// The store usually confirms a record within this time.
constexpr auto send_delay = 150ms;
// The record is sent again until it is stored: peers may be unreachable together with the store.
constexpr auto resend_interval = 500ms;
// A peer that writes the record to the store makes two calls to it.
constexpr auto store_timeout = 2s;
// A restarted daemon gives its upstream no request before the peers have responded.
constexpr auto call_timeout = 300ms;
// Each record outlives the loss of all but one of these peers.
constexpr std::size_t max_holders = 3;
// A few more are asked than told, since peers join and leave between a departure and a restart.
constexpr std::size_t max_queried = 5;
// A record holds a few names and numbers.
constexpr std::size_t max_record_bytes = std::size_t{16} * 1024;

std::uint64_t rank_of(const std::string& owner, const std::string& peer)
{
    const auto seed = XXH3_64bits(owner.data(), owner.size());
    return XXH3_64bits_withSeed(peer.data(), peer.size(), seed);
}

void respond(server_exchange& client, int status, const std::string& body)
{
    http_response_head head;
    head.status = status;
    head.fields = {{"Content-Type", "application/json"}};
    client.respond(std::move(head), body);
}

// A daemon that has another record of the owner responds with it: a restarted owner would find that
// record in place of the departure.
void handle_departure(const relay_context& context, const std::shared_ptr<server_exchange>& client,
                      const departure_replicator::peer_hooks& callbacks)
{
    const auto departure = owner_record_codec::decode(client->body());
    if (!departure || !has_departed(*departure)) {
        respond(*client, HTTPResponse::HTTP_BAD_REQUEST, {});
        return;
    }
    callbacks.record(*departure);
    const auto* const known = context.directory.find(departure->address);
    if (known == nullptr || !departure_record::is_known(*known, *departure)) {
        respond(*client, HTTPResponse::HTTP_CONFLICT,
                known == nullptr ? std::string() : owner_record_codec::encode(*known));
        return;
    }
    if (client->head().target != departure_replicator::store_target) {
        respond(*client, HTTPResponse::HTTP_OK, {});
        return;
    }
    callbacks.store(*departure, [client](bool is_stored) {
        respond(*client, is_stored ? HTTPResponse::HTTP_CREATED : HTTPResponse::HTTP_OK, {});
    });
}

void append_ranked(std::vector<std::pair<std::uint64_t, std::string>>& ranked,
                   std::vector<std::string>& result)
{
    std::sort(ranked.begin(), ranked.end());
    result.reserve(ranked.size());
    for (auto& each : ranked) {
        result.push_back(std::move(each.second));
    }
}

} // namespace

void departure_replicator::call::append(std::string_view bytes)
{
    if (body.size() + bytes.size() > max_record_bytes) {
        status = 0;
        return;
    }
    body.append(bytes);
}

departure_replicator::departure_replicator(relay_context& context, hooks callbacks)
    : m_context(context), m_hooks(std::move(callbacks))
{
}

departure_replicator::~departure_replicator()
{
    m_context.loop.cancel(m_send_timer);
    for (const auto& each : m_calls) {
        each->exchange->cancel();
    }
}

void departure_replicator::replicate(const owner_record& record)
{
    m_pending = record;
    m_is_held = false;
    if (m_send_timer == event_loop::no_timer) {
        m_send_timer = m_context.loop.after(send_delay, [this] { send_pending(); });
    }
}

void departure_replicator::on_stored(std::uint64_t revision)
{
    if (m_pending && m_pending->revision <= revision) {
        m_pending.reset();
    }
}

void departure_replicator::send_pending()
{
    m_send_timer = event_loop::no_timer;
    if (!m_pending) {
        return;
    }
    const auto writer = next_writer();
    if (!writer.empty()) {
        send_record(writer, store_target);
    }
    const auto peers = m_is_held ? std::vector<std::string>() : holders(max_holders);
    for (const auto& peer : peers) {
        if (peer != writer) {
            send_record(peer, path);
        }
    }
    m_send_timer = m_context.loop.after(resend_interval, [this] { send_pending(); });
}

void departure_replicator::send_record(const std::string& peer, const char* target)
{
    client_request request;
    request.head.method = HTTPRequest::HTTP_PUT;
    request.head.target = target;
    request.head.fields = {{"Host", peer}};
    request.body = owner_record_codec::encode(*m_pending);
    const bool is_for_store = target == store_target;
    const char* const purpose = is_for_store ? "store" : "replicate";
    request.time_limit = is_for_store ? store_timeout : call_timeout;
    send(peer, std::move(request),
         [this, revision = m_pending->revision, purpose](const call& ended) {
             on_record_response(revision, purpose, ended);
         });
}

void departure_replicator::on_record_response(std::uint64_t revision, const char* purpose,
                                              const call& ended)
{
    const bool is_stored = ended.status == HTTPResponse::HTTP_CREATED;
    const bool is_held = ended.status == HTTPResponse::HTTP_OK;
    const bool is_outdated = ended.status == HTTPResponse::HTTP_CONFLICT;
    const bool is_pending = m_pending && m_pending->revision == revision;
    const char* const failure = is_outdated ? "outdated" : "failed";
    m_context.metrics.record_departure_request(purpose, is_stored ? "stored"
                                                        : is_held ? "ok"
                                                                  : failure);
    if (is_outdated) {
        take_own_record(ended);
    }
    if (is_held && is_pending && !m_is_held) {
        m_is_held = true;
        m_context.log.note_state("departure_replicated", {{"revision", std::to_string(revision)}});
    }
    if (is_stored && is_pending) {
        m_context.log.note_state("departure_stored_by_peer",
                                 {{"revision", std::to_string(revision)}});
        on_stored(revision);
        m_hooks.stored(revision);
    }
}

bool departure_replicator::take_own_record(const call& ended) const
{
    const auto record = owner_record_codec::decode(ended.body);
    if (!record || record->address != m_context.location.address) {
        return false;
    }
    m_hooks.found(*record);
    return true;
}

void departure_replicator::query(std::function<void()> on_end)
{
    m_on_query_end = std::move(on_end);
    const auto peers = holders(max_queried);
    m_unanswered_queries = peers.size();
    for (const auto& peer : peers) {
        client_request request;
        request.head.method = HTTPRequest::HTTP_GET;
        request.head.target = std::string(path) + "?" + m_context.location.address;
        request.head.fields = {{"Host", peer}};
        request.time_limit = call_timeout;
        send(peer, std::move(request), [this](const call& ended) { on_query_response(ended); });
    }
    if (peers.empty()) {
        std::exchange(m_on_query_end, nullptr)();
    }
}

void departure_replicator::on_query_response(const call& ended)
{
    const bool is_found = ended.status == HTTPResponse::HTTP_OK && take_own_record(ended);
    const bool is_unknown = ended.status == HTTPResponse::HTTP_NOT_FOUND;
    const char* const failure = is_unknown ? "unknown" : "failed";
    m_context.metrics.record_departure_request("query", is_found ? "ok" : failure);
    if (--m_unanswered_queries == 0) {
        std::exchange(m_on_query_end, nullptr)();
    }
}

departure_replicator::ranked_peers departure_replicator::rank_peers() const
{
    std::vector<std::pair<std::uint64_t, std::string>> local;
    std::vector<std::pair<std::uint64_t, std::string>> remote;
    for (const auto& record : m_context.directory.all()) {
        if (record.address == m_context.location.address) {
            continue;
        }
        const bool is_local = record.data_centre == m_context.location.data_centre;
        const auto rank = rank_of(m_context.location.address, record.address);
        (is_local ? local : remote).emplace_back(rank, record.address);
    }
    ranked_peers result;
    append_ranked(local, result.local);
    append_ranked(remote, result.remote);
    return result;
}

// Peers of the own data centre, since all daemons know these soon after their start. An instance
// that is alone in its data centre takes any.
std::vector<std::string> departure_replicator::holders(std::size_t count) const
{
    auto peers = rank_peers();
    auto result = std::move(peers.local.empty() ? peers.remote : peers.local);
    result.resize(std::min(result.size(), count));
    return result;
}

// Daemons of the own data centre and of others in turn, since the store may be out of reach of a
// whole data centre.
std::string departure_replicator::next_writer()
{
    const auto peers = rank_peers();
    const auto number = m_store_requests++;
    const bool prefers_local = number % 2 == 0;
    const auto& preferred = prefers_local ? peers.local : peers.remote;
    const auto& candidates =
        preferred.empty() ? (prefers_local ? peers.remote : peers.local) : preferred;
    return candidates.empty() ? std::string() : candidates[number / 2 % candidates.size()];
}

void departure_replicator::send(const std::string& peer, client_request request,
                                response_handler on_end)
{
    request.connect_timeout = call_timeout;
    const auto made = std::make_shared<call>();
    const std::weak_ptr<call> weak = made;
    const auto end = [this, weak, on_end = std::move(on_end)](bool is_complete) {
        const auto ended = weak.lock();
        if (!ended) {
            return;
        }
        m_calls.erase(std::remove(m_calls.begin(), m_calls.end(), ended), m_calls.end());
        if (!is_complete) {
            ended->status = 0;
        }
        on_end(*ended);
    };
    client_hooks callbacks;
    callbacks.head = [weak](const http_response_head& head) {
        if (const auto receiving = weak.lock()) {
            receiving->status = head.status;
        }
    };
    callbacks.body = [weak](std::string_view bytes) {
        if (const auto receiving = weak.lock()) {
            receiving->append(bytes);
        }
    };
    callbacks.complete = [end] { end(true); };
    callbacks.failed = [end](exchange_error) { end(false); };
    m_calls.push_back(made);
    made->exchange = m_context.peers.send(peer, std::move(request), std::move(callbacks));
}

void departure_replicator::handle(const relay_context& context,
                                  const std::shared_ptr<server_exchange>& client,
                                  const peer_hooks& callbacks)
{
    const auto& head = client->head();
    if (head.method == HTTPRequest::HTTP_PUT) {
        const auto use = [&context, client, callbacks] {
            handle_departure(context, client, callbacks);
        };
        if (client->has_body()) {
            use();
            return;
        }
        client->receive_body(use);
        return;
    }
    const auto separator = head.target.find('?');
    const auto address =
        separator == std::string::npos ? std::string() : head.target.substr(separator + 1);
    const auto* const known = context.directory.find(address);
    if (known == nullptr) {
        respond(*client, HTTPResponse::HTTP_NOT_FOUND, {});
        return;
    }
    respond(*client, HTTPResponse::HTTP_OK, owner_record_codec::encode(*known));
}

} // namespace galenaroad
