#include "relay/entry_quota.h"

#include "relay/quota_exchange.h"

#include <Poco/Net/HTTPResponse.h>

namespace galenaroad {

namespace {

using Poco::Net::HTTPResponse;

std::string decision_name(quota_verdict::decision decision)
{
    switch (decision) {
    case quota_verdict::decision::granted:
        return "granted";
    case quota_verdict::decision::over_quota:
        return "over_quota";
    case quota_verdict::decision::not_known:
        return "quota_not_known";
    }
    return "quota_not_known";
}

std::optional<entry_error> error_of(const quota_verdict& verdict)
{
    switch (verdict.value) {
    case quota_verdict::decision::granted:
        return {};
    case quota_verdict::decision::over_quota:
        return entry_error{HTTPResponse::HTTP_TOO_MANY_REQUESTS, "over_quota", verdict.retry_after};
    case quota_verdict::decision::not_known:
        break;
    }
    return entry_error{HTTPResponse::HTTP_SERVICE_UNAVAILABLE, "quota_not_known",
                       verdict.retry_after};
}

} // namespace

void entry_quota::request(relay_context& context, const std::string& account,
                          const std::weak_ptr<void>& owner, const decision_handler& on_decided)
{
    m_account = account;
    context.quotas->request(account, [this, &context, owner, on_decided](const auto& verdict) {
        const auto kept = owner.lock();
        if (!kept) {
            return false;
        }
        context.metrics.record_quota_decision(decision_name(verdict.value));
        m_verdict = verdict;
        on_decided(error_of(verdict));
        return true;
    });
}

void entry_quota::give_back(relay_context& context)
{
    if (m_verdict && m_verdict->value == quota_verdict::decision::granted) {
        context.quotas->give_back(m_account, m_verdict->holder);
        m_verdict.reset();
    }
}

log_fields entry_quota::fields() const
{
    if (!m_verdict || m_verdict->value == quota_verdict::decision::granted) {
        return {};
    }
    return {{"quota_holder", m_verdict->holder},
            {"tokens", std::to_string(m_verdict->tokens)},
            {"tokens_age_ms", std::to_string(m_verdict->age.count())},
            {"retry_after_ms", std::to_string(m_verdict->retry_after.count())}};
}

} // namespace galenaroad
