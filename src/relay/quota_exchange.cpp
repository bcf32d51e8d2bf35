#include "relay/quota_exchange.h"

namespace galenaroad {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t max_forwarded = 1000;
// Several times in holder_authority::absence_time, since datagrams are lost.
constexpr auto handover_interval = 100ms;

} // namespace

quota_exchange::quota_exchange(relay_context& context, datagram_channel& datagrams,
                               quota_tolerance tolerance, std::function<bool()> knows_all_owners,
                               std::function<void(const owner_record& record)> on_record,
                               random_engine random)
    : m_context(context),
      m_datagrams(datagrams),
      m_knows_all_owners(std::move(knows_all_owners)),
      m_on_record(std::move(on_record)),
      m_authority(m_members, context.location.address),
      m_prober(context.loop,
               [this](const auto& address, auto asked_at) {
                   m_context.metrics.record_quota_message("absent");
                   m_authority.record_absence(address, asked_at);
               }),
      m_holder(m_authority, tolerance,
               {[this](const auto& account) { return quota_of(account); },
                {[this](const auto& address) { m_prober.probe(address); },
                 [this](const auto& address) { ask_handover(address); }}}),
      m_client(m_members, tolerance, random,
               {[this](const auto& route, const auto& question) { send(route, question); },
                [this](auto delay) { schedule(delay); }})
{
    m_datagrams.on_message(quota_message_codec::question_type,
                           [this](auto bytes, const auto& sender) { on_question(bytes, sender); });
    m_datagrams.on_message(quota_message_codec::forward_type,
                           [this](auto bytes, const auto& sender) { on_forward(bytes, sender); });
    m_datagrams.on_message(quota_message_codec::answer_type,
                           [this](auto bytes, const auto&) { on_answer(bytes); });
    m_datagrams.on_message(
        quota_message_codec::handover_question_type,
        [this](auto bytes, const auto& sender) { on_handover_question(bytes, sender); });
    m_datagrams.on_message(quota_message_codec::handover_answer_type,
                           [this](auto bytes, const auto&) { on_handover_answer(bytes); });
}

quota_exchange::~quota_exchange()
{
    m_context.loop.cancel(m_timer);
    m_context.loop.cancel(m_own_timer);
}

void quota_exchange::request(const std::string& account, quota_client::handler on_verdict)
{
    m_client.request(account, std::move(on_verdict), m_context.now());
}

void quota_exchange::give_back(const std::string& account, const std::string& holder)
{
    m_client.give_back(account, holder, m_context.now());
}

void quota_exchange::send(const quota_route& route, const quota_question& question)
{
    if (route.address == m_context.location.address) {
        m_own_questions.push_back(question);
        m_context.loop.cancel(m_own_timer);
        m_own_timer = m_context.loop.after(0ns, [this] { answer_own_questions(); });
        return;
    }
    if (route.via == m_context.location.address) {
        return; // The way by this daemon itself is the direct one.
    }
    const bool is_sent =
        route.via.empty()
            ? m_datagrams.send(route.address, quota_message_codec::encode(question))
            : m_datagrams.send(route.via,
                               quota_message_codec::encode_forward(route.address, question));
    m_context.metrics.record_quota_message(is_sent ? "asked" : "not_sent");
}

void quota_exchange::schedule(std::chrono::nanoseconds delay)
{
    m_context.loop.cancel(m_timer);
    m_timer = m_context.loop.after(delay, [this] { on_timer(); });
}

void quota_exchange::on_timer()
{
    m_timer = event_loop::no_timer;
    m_client.on_timer(m_context.now());
}

void quota_exchange::answer_own_questions()
{
    m_own_timer = event_loop::no_timer;
    const auto questions = std::move(m_own_questions);
    m_own_questions.clear();
    for (const auto& question : questions) {
        const auto now = m_context.now();
        if (const auto answer = m_holder.answer(question, now)) {
            m_client.on_answer(*answer, now);
        }
    }
}

void quota_exchange::on_question(std::string_view bytes, const std::string& sender)
{
    const auto question = quota_message_codec::decode_question(bytes);
    if (!question) {
        m_context.metrics.record_quota_message("unreadable");
        return;
    }
    m_authority.record_contact(m_context.now());
    const auto answer = m_holder.answer(*question, m_context.now());
    if (answer && m_datagrams.send(sender, quota_message_codec::encode(*answer))) {
        m_context.metrics.record_quota_message("answered");
    }
}

void quota_exchange::on_forward(std::string_view bytes, const std::string& sender)
{
    const auto forward = quota_message_codec::decode_forward(bytes);
    const auto question =
        forward ? quota_message_codec::decode_question(forward->second) : std::nullopt;
    if (!question || m_context.directory.find(forward->first) == nullptr) {
        m_context.metrics.record_quota_message("unreadable");
        return;
    }
    if (m_forwarded.size() >= max_forwarded) {
        m_forwarded.clear(); // The questions are repeated.
    }
    m_forwarded[question->session] = sender;
    m_datagrams.send(forward->first, forward->second);
    m_context.metrics.record_quota_message("forwarded");
}

void quota_exchange::on_answer(std::string_view bytes)
{
    const auto answer = quota_message_codec::decode_answer(bytes);
    if (!answer) {
        m_context.metrics.record_quota_message("unreadable");
        return;
    }
    m_authority.record_contact(m_context.now());
    const auto forwarded = m_forwarded.find(answer->session);
    if (forwarded != m_forwarded.end()) {
        m_datagrams.send(forwarded->second, bytes);
        return;
    }
    m_client.on_answer(*answer, m_context.now());
}

// Repeated with the questions for tokens, until the daemon has handed over or has not responded for
// holder_authority::join_time.
void quota_exchange::ask_handover(const std::string& address)
{
    const auto now = m_context.now();
    const auto* const own = m_context.directory.find(m_context.location.address);
    auto& asked_at = m_handover_asked_at[address];
    if (own == nullptr || now - asked_at < handover_interval) {
        return;
    }
    asked_at = now;
    const bool is_sent =
        m_datagrams.send(address, quota_message_codec::encode_handover_question(*own));
    m_context.metrics.record_quota_message(is_sent ? "handover_asked" : "not_sent");
}

void quota_exchange::on_handover_question(std::string_view bytes, const std::string& sender)
{
    const auto record = quota_message_codec::decode_handover_question(bytes);
    if (!record) {
        m_context.metrics.record_quota_message("unreadable");
        return;
    }
    m_authority.record_contact(m_context.now());
    m_on_record(*record);
    const auto state = m_authority.hand_over_to(record->address, m_context.now());
    const handover_answer answer{state, m_context.location.address};
    if (m_datagrams.send(sender, quota_message_codec::encode(answer))) {
        m_context.metrics.record_quota_message("handover_answered");
    }
}

void quota_exchange::on_handover_answer(std::string_view bytes)
{
    const auto answer = quota_message_codec::decode_handover_answer(bytes);
    if (!answer) {
        m_context.metrics.record_quota_message("unreadable");
        return;
    }
    m_authority.record_contact(m_context.now());
    m_authority.record_handover(answer->address, answer->state, m_context.now());
}

std::optional<account_quota> quota_exchange::quota_of(const std::string& account) const
{
    const auto plan = m_context.plans.in_force();
    const auto found = plan ? plan->account(account) : nullptr;
    return found ? std::optional(found->quota) : std::nullopt;
}

void quota_exchange::update_members()
{
    m_members.update(m_context.directory, m_knows_all_owners(), m_context.now());
}

} // namespace galenaroad
