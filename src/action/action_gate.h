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

/// A request for an action, as a daemon receives it.
struct action_request {
    std::string business;
    std::string key;    ///< Idempotency key; empty without one.
    std::string digest; ///< Digest of the request; see request_digest.
    steady_time deadline;
};

/// How an action is protected from running twice.
enum class duplicate_protection {
    none,       ///< Not protected, as the route is idempotent.
    no_key,     ///< Not recorded; retried only with proof that the attempt did not run.
    caller_key, ///< By a claim of the caller's key in the table service.
    issued_key, ///< By a record in the memory of the daemon that issued the key.
};

/// Permission to dispatch one attempt. Its holder must report to the gate how the attempt ended.
struct action_ticket {
    duplicate_protection protection = duplicate_protection::none;
    std::string attempt_id;
    action_claim claim;              ///< For a caller's key.
    std::uint64_t issued_serial = 0; ///< For an issued key.
};

/// What the caller of the gate has to do with a request.
enum class action_decision_kind {
    run,     ///< Dispatch the ticket's attempt.
    replay,  ///< Return the recorded response.
    refuse,  ///< Return the error.
    forward, ///< Forward the request to the daemon that issued its key.
};

/// Decision of the gate on a request.
struct action_decision {
    action_decision_kind kind = action_decision_kind::refuse;
    action_ticket ticket;                    ///< For `run`.
    recorded_response response;              ///< For `replay`.
    error_kind error = error_kind::internal; ///< For `refuse`; otherwise `ok`.
    std::string issuer_address;              ///< For `forward`: IP address and port of the issuer.
};

/// Returns whether an incarnation of the daemon at a peer address is a live member. Requests are
/// forwarded to live members only, because keys are untrusted input and may contain any address.
using issuer_alive = std::function<bool(const std::string& address, std::uint64_t incarnation)>;

/// Decides for each request whether its action may be dispatched, and records how attempts end.
/// Thread-safe. Only requests with a caller's key wait for the table service.
class action_gate {
public:
    /// All references must outlive the gate.
    /// @param ledger records the claims of callers' keys.
    /// @param issued records the actions with keys that this daemon issued.
    /// @param attempts generates the attempt ids.
    /// @param time the clock.
    /// @param alive returns whether an issuer is a live member.
    action_gate(action_ledger& ledger, issued_action_table& issued, attempt_id_source& attempts,
                const clock& time, issuer_alive alive);

    /// Responses with larger bodies are not recorded; a retry by the caller gets `outcome_unknown`.
    static constexpr std::size_t max_recorded_body_bytes = std::size_t{1024} * 1024;

    /// Decides on a request.
    /// @param request the request.
    /// @param rule the route that matches it.
    /// @return the decision.
    action_decision decide(const action_request& request, const route& rule);

    /// Records that the attempt ran and its complete response is known. For a caller's key, this
    /// waits for the table service; it may be called after the response was sent to the caller.
    /// @param ticket the attempt's ticket.
    /// @param response the response.
    void completed(const action_ticket& ticket, recorded_response response);

    /// Records that the attempt certainly did not run and never will. With such proof, the holder
    /// may instead send the same attempt to another owner, which needs no write to the store.
    /// @param ticket the attempt's ticket.
    /// @param proof why that is certain.
    void not_run(const action_ticket& ticket, not_run_proof proof);

    /// Records that the attempt may have run.
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
