#include "relay/answer_query_handler.h"

#include "relay/owner_response_builder.h"

namespace galenaroad {

namespace {

using namespace std::chrono_literals;

const char* state_name(answer_state state)
{
    switch (state) {
    case answer_state::kept:
        return "kept";
    case answer_state::pending:
        return "pending";
    case answer_state::not_run:
        return "not_run";
    case answer_state::unknown:
        break;
    }
    return "unknown";
}

} // namespace

void answer_query_handler::handle(relay_context& context,
                                  const std::shared_ptr<server_exchange>& client,
                                  const answer_query& query)
{
    const auto state = context.answers.look_up(query);
    context.metrics.note_answer_query(state_name(state));
    const auto request_id = http_head::find(client->head().fields, context.names.request_id);
    context.log.note("answer_query", std::string(request_id.value_or("")),
                     {{"attempt", query.attempt_id}, {"outcome", state_name(state)}});
    switch (state) {
    case answer_state::kept: {
        const auto& kept = context.answers.answer(query.attempt_id);
        client->respond(kept.head, kept.body);
        return;
    }
    case answer_state::pending:
        client->acknowledge();
        context.answers.when_finished(query.attempt_id, [client](const kept_answer& kept) {
            client->respond(kept.head, kept.body);
        });
        return;
    case answer_state::not_run:
        client->respond(owner_response_builder::not_run(context, owner_reason::never_received, 0ms),
                        {});
        return;
    case answer_state::unknown:
        break;
    }
    client->respond(owner_response_builder::failed(owner_response_builder::report(
                        context, owner_result::failed, owner_reason::forgotten)),
                    {});
}

} // namespace galenaroad
