#include "relay/plan_announcer.h"

#include "relay/state_http_request.h"

#include <map>
#include <random>

namespace galenaroad {

namespace {

using namespace std::chrono_literals;

constexpr auto response_timeout = 1s;
constexpr auto second_round_delay = 300ms;

} // namespace

plan_announcer::plan_announcer(relay_context& context, random_engine random)
    : m_context(context), m_random(random)
{
}

plan_announcer::~plan_announcer()
{
    m_context.loop.cancel(m_second_round_timer);
}

void plan_announcer::announce_to_other_data_centres()
{
    for (const auto& peer : choose_one_per_data_centre()) {
        announce_to(peer);
    }
    m_context.loop.cancel(m_second_round_timer);
    m_second_round_timer = m_context.loop.after(second_round_delay, [this] {
        m_second_round_timer = event_loop::no_timer;
        for (const auto& peer : choose_one_per_data_centre()) {
            announce_to(peer);
        }
    });
}

std::vector<std::string> plan_announcer::choose_one_per_data_centre()
{
    std::map<std::string, std::vector<std::string>> peers;
    for (const auto& record : m_context.directory.all()) {
        const bool is_local = record.data_centre == m_context.location.data_centre;
        if (!is_local && m_context.ranking.is_reachable(record.address, m_context.now())) {
            peers[record.data_centre].push_back(record.address);
        }
    }
    std::vector<std::string> chosen;
    for (const auto& [data_centre, addresses] : peers) {
        std::uniform_int_distribution<std::size_t> any(0, addresses.size() - 1);
        chosen.push_back(addresses[any(m_random)]);
    }
    return chosen;
}

void plan_announcer::announce_to(const std::string& peer)
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
    callbacks.complete = [end] { end("ok"); };
    callbacks.failed = [end](exchange_error) { end("failed"); };
    state_request_limits limits;
    limits.timeout = response_timeout;
    *call = m_context.peers.send(peer, make_state_http_request(peer, request, limits),
                                 std::move(callbacks));
}

} // namespace galenaroad
