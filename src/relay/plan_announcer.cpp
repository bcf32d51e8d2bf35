#include "relay/plan_announcer.h"

#include "relay/state_http_request.h"

#include <algorithm>
#include <random>

namespace galenaroad {

namespace {

using namespace std::chrono_literals;

constexpr auto response_timeout = 1s;
constexpr auto round_interval = 300ms;
// After these, the data centre is unreachable; its daemons learn of the plan when they return.
constexpr int max_rounds = 8;
constexpr int wanted_responses = 2;
// With more than two, a plan reaches the rest even if a third of the daemons do not respond.
constexpr std::size_t announced_neighbours = 3;

} // namespace

plan_announcer::plan_announcer(relay_context& context, random_engine random)
    : m_context(context), m_random(random)
{
}

plan_announcer::~plan_announcer()
{
    m_context.loop.cancel(m_round_timer);
}

void plan_announcer::announce_to_other_data_centres()
{
    m_responses.clear();
    m_rounds = 0;
    announce_round();
}

void plan_announcer::announce_round()
{
    m_context.loop.cancel(m_round_timer);
    m_round_timer = event_loop::no_timer;
    const auto version = m_context.plan_version();
    bool is_complete = true;
    for (const auto& [data_centre, addresses] : reachable_peers()) {
        const bool is_local = data_centre == m_context.location.data_centre;
        if (is_local || m_responses[data_centre] >= wanted_responses) {
            continue;
        }
        is_complete = false;
        send(choose(addresses), [this, version, name = data_centre] {
            if (version == m_context.plan_version()) {
                ++m_responses[name];
            }
        });
    }
    if (!is_complete && ++m_rounds < max_rounds) {
        m_round_timer = m_context.loop.after(round_interval, [this] { announce_round(); });
    }
}

void plan_announcer::announce_to_neighbours()
{
    auto addresses = reachable_peers()[m_context.location.data_centre];
    std::shuffle(addresses.begin(), addresses.end(), m_random);
    const auto count = std::min(addresses.size(), announced_neighbours);
    for (std::size_t each = 0; each < count; ++each) {
        announce_to(addresses[each]);
    }
}

void plan_announcer::announce_to(const std::string& peer)
{
    send(peer, [] {});
}

// Returns the addresses by data centre.
std::map<std::string, std::vector<std::string>> plan_announcer::reachable_peers() const
{
    std::map<std::string, std::vector<std::string>> peers;
    for (const auto& record : m_context.directory.all()) {
        const bool is_self = record.address == m_context.location.address;
        if (!is_self && m_context.ranking.is_reachable(record.address, m_context.now())) {
            peers[record.data_centre].push_back(record.address);
        }
    }
    return peers;
}

const std::string& plan_announcer::choose(const std::vector<std::string>& addresses)
{
    std::uniform_int_distribution<std::size_t> any(0, addresses.size() - 1);
    return addresses[any(m_random)];
}

void plan_announcer::send(const std::string& peer, const response_hook& on_response)
{
    state_request request;
    request.plan_version = m_context.plan_version();
    request.address = m_context.location.address;
    request.wants_owners = false;
    const auto call = m_calls.insert(m_calls.end(), nullptr);
    // Keeps the exchange alive until its final callback has returned.
    const auto end = [this, call](const char* outcome) {
        m_context.metrics.record_state_request("announce", outcome);
        const auto finished_call = std::move(*call);
        m_calls.erase(call);
    };
    client_hooks callbacks;
    callbacks.head = [](const http_response_head&) {};
    callbacks.body = [](std::string_view) {};
    callbacks.complete = [end, on_response] {
        on_response();
        end("ok");
    };
    callbacks.failed = [this, end, peer](exchange_error) {
        m_context.ranking.record_unreachable(peer, m_context.now());
        end("failed");
    };
    state_request_limits limits;
    limits.timeout = response_timeout;
    *call = m_context.peers.send(peer, make_state_http_request(peer, request, limits),
                                 std::move(callbacks));
}

} // namespace galenaroad
