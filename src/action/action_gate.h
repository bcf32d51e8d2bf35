#pragma once

#include "action/action_ledger.h"
#include "action/issued_action_table.h"
#include "base/error_kind.h"
#include "model/contract.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace galenaroad {

/// A request for an action, as it reaches a daemon.
struct action_request {
    std::string business;
    std::string key;    ///< Idempotency key; empty for none.
    std::string digest; ///< See request_digest.
    steady_time deadline;
};

/// How an attempt is kept from running twice.
enum class duplicate_protection {
    none,       ///< The route is idempotent.
    no_key,     ///< Single attempt, retried only with proof that it did not run.
    caller_key, ///< Claim in the table service.
    issued_key, ///< Record in the memory of the issuer.
};

/// Permission to dispatch one attempt. Its holder reports the attempt's end to the gate.
struct action_ticket {
    duplicate_protection protection = duplicate_protection::none;
    std::string attempt_id;
    action_claim claim;              ///< With a caller's key.
    std::uint64_t issued_serial = 0; ///< With an issued key.
};

/// What to do with a request.
enum class action_decision_kind {
    run,     ///< Dispatch the ticket's attempt.
    replay,  ///< Answer with the recorded response.
    refuse,  ///< Answer with the error.
    forward, ///< Send the request to the daemon that issued its key.
};

/// Decision on a request.
struct action_decision {
    action_decision_kind kind = action_decision_kind::refuse;
    action_ticket ticket;
    recorded_response response;
    error_kind error = error_kind::internal;
    std::string issuer_address; ///< IP number and port of the issuer's gRPC listener.
};

/// Tells whether an incarnation of the daemon at a peer address is a live member. Requests are
/// passed on to live members only, because keys are input and may name any address.
using issuer_alive = std::function<bool(const std::string& address, std::uint64_t incarnation)>;

/// Decides for each request whether its action may be dispatched, and records how attempts end.
/// Safe for use by several threads. Only requests with a caller's key wait for a store.
class action_gate {
public:
    /// All references must outlive the gate.
    /// @param ledger claims of callers' keys.
    /// @param issued actions with keys that this daemon issued.
    /// @param attempts makes the attempt ids.
    /// @param time the clock.
    /// @param alive tells whether an issuer is a live member.
    action_gate(action_ledger& ledger, issued_action_table& issued, attempt_id_source& attempts,
                const clock& time, issuer_alive alive);

    /// Larger responses are not recorded; who asks again receives `outcome_unknown`.
    static constexpr std::size_t max_recorded_body_bytes = std::size_t{1024} * 1024;

    /// Decides on a request.
    /// @param request the request.
    /// @param rule the route that matches it.
    /// @return the decision.
    action_decision decide(const action_request& request, const route& rule);

    /// Reports that the attempt ran and its complete response is known. With a caller's key, this
    /// waits for the store; it may be called after the caller has been answered.
    /// @param ticket the attempt's ticket.
    /// @param response the response.
    void completed(const action_ticket& ticket, recorded_response response);

    /// Reports that the attempt certainly did not run and never will. With such proof the holder
    /// may also send the same attempt to another owner instead, which costs no write.
    /// @param ticket the attempt's ticket.
    /// @param proof why that is certain.
    void not_run(const action_ticket& ticket, not_run_proof proof);

    /// Reports that the attempt may have run.
    /// @param ticket the attempt's ticket.
    void outcome_unknown(const action_ticket& ticket);

private:
    action_decision decide_caller_key(const action_request& request);
    action_decision decide_issued_key(const action_request& request);
    action_decision begin_issued(const issued_key& key, const action_request& request);
    action_decision run(duplicate_protection protection);

    action_ledger& m_ledger;
    issued_action_table& m_issued;
    attempt_id_source& m_attempts;
    const clock& m_clock;
    const issuer_alive m_alive;
};

} // namespace galenaroad
