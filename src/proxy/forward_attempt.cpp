#include "proxy/forward_attempt.h"

#include "peer/peer_limits.h"

#include <algorithm>
#include <grpcpp/client_context.h>
#include <vector>

namespace galenaroad {

namespace {

using std::chrono::milliseconds;

milliseconds until(steady_time time, steady_time now)
{
    return std::max(std::chrono::duration_cast<milliseconds>(time - now), milliseconds(0));
}

attempt_result from_message(const peer::ResponseError& error)
{
    attempt_result made;
    made.kind = error_kind_named(error.kind());
    made.run = run_state::unknown;
    for (const auto run : {run_state::not_run, run_state::completed}) {
        if (error.run() == run_state_name(run)) {
            made.run = run;
        }
    }
    made.retry_after = milliseconds(error.retry_after_ms());
    made.detail = error.detail();
    return made;
}

// The caller's answer must leave before its deadline, so the owner gets slightly less time.
milliseconds owner_time(milliseconds left)
{
    return left - std::min(milliseconds(5), left / 20);
}

} // namespace

forward_attempt::forward_attempt(std::shared_ptr<const peer_client> client, watchdog& guard,
                                 const clock& time)
    : m_client(std::move(client)), m_guard(guard), m_clock(time)
{
}

forward_outcome forward_attempt::run(peer::RequestHead head, body_source& body, answer_sink& sink,
                                     const attempt_times& times, const head_filter& accepts)
{
    forward_outcome outcome;
    m_started = m_clock.steady_now();
    if (!m_client->connect(std::min(connect_timeout, until(times.deadline, m_started)))) {
        outcome.result = attempt_result::failed(error_kind::peer_unreachable,
                                                "The daemon beside the backend server");
        return outcome;
    }
    const auto left = until(times.deadline, m_clock.steady_now());
    head.set_remaining_ms(static_cast<std::uint32_t>(owner_time(left).count()));
    m_request_id = head.request_id();
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + left);
    auto& stub = *m_client->stub;
    const auto call = m_issued_action ? stub.IssuedAction(&context) : stub.Forward(&context);
    const auto guard = m_guard.arm(times.head_by, [&] {
        m_head_late = true;
        context.TryCancel();
    });
    outcome.result = send(*call, head, body);
    if (outcome.result.ok()) {
        receive(
            *call, sink,
            [&](int status) {
                m_guard.disarm(guard);
                return accepts(status);
            },
            outcome);
    }
    m_guard.disarm(guard);
    if (!m_ended) {
        context.TryCancel();
    }
    const auto status = call->Finish();
    if (!m_ended && outcome.result.ok()) {
        note_broken(status, outcome);
    }
    return outcome;
}

attempt_result forward_attempt::send(stream& call, const peer::RequestHead& head, body_source& body)
{
    peer::ForwardRequest first;
    first.set_request_id(m_request_id);
    *first.mutable_head() = head;
    if (!call.Write(first)) {
        return {};
    }
    if (head.content_length() != 0) {
        return send_body(call, body);
    }
    peer::ForwardRequest last;
    last.set_request_id(m_request_id);
    last.set_end(true);
    call.WriteLast(last, grpc::WriteOptions());
    return {};
}

attempt_result forward_attempt::send_body(stream& call, body_source& body)
{
    std::vector<char> buffer(max_chunk_bytes);
    auto state = body_state::more;
    while (state == body_state::more) {
        const auto part = body.read(buffer.data(), buffer.size());
        state = part.state;
        if (state != body_state::more && state != body_state::complete) {
            return attempt_result::failed(error_kind::outcome_unknown,
                                          "The request body ended early");
        }
        if (part.size == 0) {
            continue;
        }
        peer::ForwardRequest message;
        message.set_request_id(m_request_id);
        message.set_body(buffer.data(), part.size);
        // The owner may have refused the request before it has read the whole body.
        if (!call.Write(message)) {
            return {};
        }
    }
    peer::ForwardRequest last;
    last.set_request_id(m_request_id);
    last.set_end(true);
    call.WriteLast(last, grpc::WriteOptions());
    return {};
}

void forward_attempt::receive(stream& call, answer_sink& sink, const head_filter& accepts,
                              forward_outcome& outcome)
{
    peer::ForwardResponse message;
    while (!m_ended && call.Read(&message)) {
        if (message.request_id() != m_request_id) {
            const auto started = outcome.result.answer_started;
            outcome.result = attempt_result::failed(error_kind::answer_mismatched,
                                                    "A message of another request was received");
            outcome.result.answer_started = started;
            return;
        }
        if (!handle(message, sink, accepts, outcome)) {
            return;
        }
    }
}

// Returns false when nothing more is to be received.
bool forward_attempt::handle(const peer::ForwardResponse& message, answer_sink& sink,
                             const head_filter& accepts, forward_outcome& outcome)
{
    auto& result = outcome.result;
    switch (message.part_case()) {
    case peer::ForwardResponse::kHead:
        return handle_head(message.head(), sink, accepts, outcome);
    case peer::ForwardResponse::kBody:
        result.body_bytes += message.body().size();
        result.sink_gone = !sink.write(message.body());
        if (result.sink_gone) {
            result.kind = error_kind::answer_incomplete;
        }
        return !result.sink_gone;
    case peer::ForwardResponse::kTrailer:
        m_ended = true;
        outcome.trailer = message.trailer();
        if (outcome.trailer.body_bytes() != result.body_bytes) {
            result.kind = error_kind::answer_incomplete;
        }
        return false;
    case peer::ForwardResponse::kError: {
        m_ended = true;
        const auto started = result.answer_started;
        result = from_message(message.error());
        result.answer_started = started;
        return false;
    }
    default:
        return true;
    }
}

bool forward_attempt::handle_head(const peer::ResponseHead& head, answer_sink& sink,
                                  const head_filter& accepts, forward_outcome& outcome)
{
    auto& result = outcome.result;
    result.status = static_cast<int>(head.status());
    result.first_byte =
        std::chrono::duration_cast<std::chrono::microseconds>(m_clock.steady_now() - m_started);
    if (!accepts(result.status)) {
        result.kind = error_kind::upstream_failed;
        result.run = run_state::unknown;
        return false;
    }
    answer_head passed;
    passed.status = result.status;
    passed.content_length = head.content_length();
    for (const auto& field : head.headers()) {
        passed.headers.push_back({field.name(), field.value()});
    }
    result.answer_started = true;
    result.sink_gone = !sink.begin(passed);
    if (result.sink_gone) {
        result.kind = error_kind::answer_incomplete;
    }
    return !result.sink_gone;
}

void forward_attempt::note_broken(const grpc::Status& status, forward_outcome& outcome) const
{
    auto& result = outcome.result;
    const auto started = result.answer_started;
    const auto is_late = m_head_late || status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED;
    auto kind = is_late ? error_kind::deadline_exceeded : error_kind::outcome_unknown;
    if (started && !is_late) {
        kind = error_kind::answer_incomplete;
    }
    // The library's own words for a deadline depend on which of its timers fires first.
    const auto cause = is_late ? std::string("it did not end in time") : status.error_message();
    result = attempt_result::failed(kind, "The call to the owner daemon: " + cause);
    result.answer_started = started;
}

} // namespace galenaroad
