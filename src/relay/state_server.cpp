#include "relay/state_server.h"

#include <Poco/Net/HTTPResponse.h>
#include <algorithm>

namespace galenaroad {

namespace {

using namespace std::chrono_literals;

// More held requests would occupy connections that clients and other peers need.
constexpr std::size_t max_held = 512;
constexpr auto owner_changes_delay = 300ms;
// Interval at which held requests are acknowledged; see peer_follower.
constexpr auto sweep_interval = 500ms;

} // namespace

state_server::state_server(relay_context& context, hooks callbacks, std::string start_id)
    : m_context(context), m_hooks(std::move(callbacks)), m_start_id(std::move(start_id))
{
}

std::optional<state_request>
state_server::handle_request(const std::shared_ptr<server_exchange>& client)
{
    auto request = peer_state_codec::decode_request(client->head().target);
    if (!request) {
        http_response_head head;
        head.status = Poco::Net::HTTPResponse::HTTP_BAD_REQUEST;
        client->respond(std::move(head), {});
        return {};
    }
    if (request->wait == 0ms || has_change(*request) || m_held.size() >= max_held) {
        respond(*client, *request);
        return request;
    }
    const auto until = m_context.now() + request->wait;
    const auto held = m_held.insert(m_held.end(), {client, *request, until});
    client->on_disconnected([this, held] { m_held.erase(held); });
    sweep();
    return request;
}

void state_server::on_state_change()
{
    respond_to_held([this](const auto& each) { return has_urgent_change(each.request); });
    if (m_is_response_scheduled || m_held.empty()) {
        return;
    }
    m_is_response_scheduled = true;
    m_context.loop.after(owner_changes_delay, [this] {
        m_is_response_scheduled = false;
        respond_to_held([this](const auto& each) { return has_change(each.request); });
    });
}

bool state_server::has_urgent_change(const state_request& request) const
{
    const auto known = std::max(request.plan_version, request.reported_plan_version);
    return m_context.plan_version() > known || m_hooks.is_fresh() != request.was_fresh ||
           has_other_era(request) || has_other_plan(request);
}

// Peers that have not been told an era ask without one, and get it with their next response.
bool state_server::has_other_era(const state_request& request) const
{
    return request.reported_era.is_known() && request.reported_era != m_hooks.era();
}

// Only a store with eras makes a version of the plan appear with other contents.
bool state_server::has_other_plan(const state_request& request) const
{
    if (request.plan_digest == 0 || request.plan_version != m_context.plan_version()) {
        return false;
    }
    const auto digest = m_context.plans.in_force()->digest();
    return digest != request.plan_digest && digest != request.reported_plan_digest;
}

bool state_server::has_change(const state_request& request) const
{
    const auto& position = request.position;
    return has_urgent_change(request) || position.start_id != m_start_id ||
           position.change != m_context.directory.latest_change();
}

void state_server::respond(server_exchange& client, const state_request& request) const
{
    peer_state state;
    state.plan_version = m_context.plan_version();
    state.era = m_hooks.era();
    if (state.era.is_known() && state.plan_version > 0) {
        state.plan_digest = m_context.plans.in_force()->digest();
    }
    state.owners = owners_for(request);
    state.position = {m_start_id, m_context.directory.latest_change()};
    state.is_fresh = m_hooks.is_fresh();
    state.is_reader = m_hooks.is_reader();
    state.has_lost_store = m_hooks.has_lost_store();
    state.is_complete = m_hooks.is_complete();
    if (!state.is_fresh) {
        state.fresh_daemons = m_hooks.fresh_daemons();
    }
    http_response_head head;
    head.status = Poco::Net::HTTPResponse::HTTP_OK;
    head.fields = {{"Content-Type", "application/json"}};
    const auto body = peer_state_codec::encode(state);
    m_context.metrics.record_state_response(body.size());
    client.respond(std::move(head), body);
}

std::vector<owner_record> state_server::owners_for(const state_request& request) const
{
    const auto& directory = m_context.directory;
    if (!request.wants_owners) {
        return {};
    }
    if (request.position.start_id == m_start_id) {
        return directory.changed_since(request.position.change);
    }
    const bool is_equal = request.digest != 0 && request.digest == directory.digest();
    return is_equal ? std::vector<owner_record>() : directory.all();
}

template <typename Predicate>
void state_server::respond_to_held(Predicate is_due)
{
    for (auto each = m_held.begin(); each != m_held.end();) {
        if (!is_due(*each)) {
            ++each;
            continue;
        }
        const auto due = std::move(*each);
        each = m_held.erase(each);
        // The disconnect callback must not erase the element again.
        due.client->on_disconnected(nullptr);
        respond(*due.client, due.request);
    }
}

void state_server::sweep()
{
    if (m_is_sweep_scheduled || m_held.empty()) {
        return;
    }
    m_is_sweep_scheduled = true;
    m_context.loop.after(sweep_interval, [this] {
        m_is_sweep_scheduled = false;
        const auto now = m_context.now();
        respond_to_held([now](const auto& each) { return each.until <= now; });
        for (const auto& each : m_held) {
            each.client->acknowledge();
        }
        sweep();
    });
}

} // namespace galenaroad
