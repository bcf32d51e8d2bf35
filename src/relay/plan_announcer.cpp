#include "relay/plan_announcer.h"

#include "relay/state_request.h"

#include <map>
#include <random>

namespace galenaroad {

namespace {

using namespace std::chrono_literals;

constexpr auto answer_time = 1s;
constexpr auto second_after = 300ms;

} // namespace

plan_announcer::plan_announcer(relay_context& context, random_engine random)
    : m_context(context), m_random(random)
{
}

plan_announcer::~plan_announcer()
{
    m_context.loop.cancel(m_second);
}

void plan_announcer::tell_other_data_centres()
{
    for (const auto& peer : choose_one_of_each()) {
        tell(peer);
    }
    m_context.loop.cancel(m_second);
    m_second = m_context.loop.after(second_after, [this] {
        m_second = event_loop::no_timer;
        for (const auto& peer : choose_one_of_each()) {
            tell(peer);
        }
    });
}

std::vector<std::string> plan_announcer::choose_one_of_each()
{
    std::map<std::string, std::vector<std::string>> peers;
    for (const auto& record : m_context.directory.all()) {
        const bool is_near = record.data_centre == m_context.location.data_centre;
        if (!is_near && m_context.ranking.is_reachable(record.address, m_context.now())) {
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

void plan_announcer::tell(const std::string& peer)
{
    state_question told;
    told.plan_version = m_context.plan_version();
    told.address = m_context.location.address;
    told.wants_owners = false;
    const auto made = m_calls.insert(m_calls.end(), nullptr);
    // The exchange outlives the reaction that ends it.
    const auto end = [this, made] {
        const auto held = std::move(*made);
        m_calls.erase(made);
    };
    client_hooks reactions;
    reactions.head = [](const http_response_head&) {};
    reactions.body = [](std::string_view) {};
    reactions.complete = end;
    reactions.failed = [end](exchange_error) { end(); };
    state_request_times times;
    times.limit = answer_time;
    *made = m_context.peers.send(peer, make_state_request(peer, told, times), std::move(reactions));
}

} // namespace galenaroad
