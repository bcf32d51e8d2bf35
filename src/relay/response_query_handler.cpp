#include "relay/response_query_handler.h"

#include "relay/owner_response_builder.h"

namespace galenaroad {

namespace {

using namespace std::chrono_literals;

const char* state_name(response_state state)
{
    switch (state) {
    case response_state::stored:
        return "kept";
    case response_state::pending:
        return "pending";
    case response_state::not_run:
        return "not_run";
    case response_state::unknown:
        break;
    }
    return "unknown";
}

} // namespace

void response_query_handler::handle(relay_context& context,
                                    const std::shared_ptr<server_exchange>& client,
                                    const response_query& query)
{
    const auto state = context.responses.look_up(query);
    context.metrics.record_response_query(state_name(state));
    const auto request_id = http_head::find(client->head().fields, context.names.request_id);
    context.log.note("answer_query", std::string(request_id.value_or("")),
                     {{"attempt", query.attempt_id}, {"outcome", state_name(state)}});
    switch (state) {
    case response_state::stored: {
        const auto& stored = context.responses.response(query.attempt_id);
        client->respond(stored.head, stored.body);
        return;
    }
    case response_state::pending:
        client->acknowledge();
        context.responses.when_finished(query.attempt_id, [client](const stored_response& stored) {
            client->respond(stored.head, stored.body);
        });
        return;
    case response_state::not_run:
        client->respond(owner_response_builder::not_run(context, owner_reason::never_received, 0ms),
                        {});
        return;
    case response_state::unknown:
        break;
    }
    client->respond(owner_response_builder::failed(owner_response_builder::report(
                        context, owner_result::failed, owner_reason::forgotten)),
                    {});
}

} // namespace galenaroad
