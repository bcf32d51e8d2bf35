#pragma once

#include "action/action_row.h"
#include "action/attempt_id_source.h"
#include "action/settlement_queue.h"
#include "base/clock.h"
#include "platform/object_store.h"
#include "platform/table_service.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace galenaroad {

/// A request for an action with a caller's key.
struct keyed_request {
    std::string business;
    std::string key;
    std::string digest; ///< See request_digest.
    steady_time deadline;
};

/// What came of asking for a key's claim.
enum class claim_kind {
    won,               ///< The attempt of the claim may be dispatched, once.
    recorded,          ///< The action ran; its response is recorded.
    in_progress,       ///< Another attempt holds the key and its daemon is alive.
    outcome_unknown,   ///< Another attempt may have run; the key is never dispatched again.
    key_reused,        ///< The key belongs to a different request.
    store_unavailable, ///< Not claimed; this request will not run.
};

/// Outcome of asking for a key's claim.
struct claim_outcome {
    claim_kind kind = claim_kind::store_unavailable;
    action_claim claim;         ///< When won.
    recorded_response response; ///< When recorded.
};

/// Limits of the ledger.
struct action_ledger_limits {
    /// Larger bodies are written to the object store (docs/design.md, section 4.2).
    std::size_t max_row_body_bytes = std::size_t{16} * 1024;
    /// Beyond it no key is claimed, so that an outage of hours does not exhaust the memory.
    std::size_t max_pending = 10000;
    std::size_t max_pending_body_bytes = std::size_t{4} * 1024 * 1024;
};

/// Tells whether the incarnation of an instance's daemon may still be running.
using incarnation_alive =
    std::function<bool(const std::string& instance, std::uint64_t incarnation)>;

/// Claims of callers' idempotency keys in the table `actions`, by which an action is dispatched at
/// most once. Safe for use by several threads; no lock is held during a call to a store.
class action_ledger {
public:
    /// All references must outlive the ledger.
    /// @param tables the table service.
    /// @param objects the object store.
    /// @param time the clock.
    /// @param attempts makes the attempt ids.
    /// @param alive tells whether a claimer may still be running.
    /// @param limits the limits.
    action_ledger(table_service& tables, object_store& objects, const clock& time,
                  attempt_id_source& attempts, incarnation_alive alive,
                  action_ledger_limits limits = {});

    /// Asks for the claim of a key.
    /// @param request the request.
    /// @return the outcome.
    claim_outcome claim(const keyed_request& request);

    /// Records the response of a claim's attempt. When the store does not confirm it, the record
    /// is written later by retry_pending().
    /// @param claim the claim.
    /// @param response the complete response.
    /// @return true when the store has confirmed it.
    bool complete(const action_claim& claim, recorded_response response);

    /// Gives the key back, because the attempt certainly did not run and never will.
    /// @param claim the claim.
    /// @param proof why that is certain.
    /// @return true when the store has confirmed it.
    bool release(const action_claim& claim, not_run_proof proof);

    /// Records that the attempt may have run, so that a caller who asks again is not told that it
    /// is in progress. The attempt may still be completed.
    /// @param claim the claim.
    /// @return true when the store has confirmed it.
    bool mark_unknown(const action_claim& claim);

    /// Writes settlements that the store has not confirmed. Stops when the store is unavailable.
    /// @param limit the greatest number of settlements to try.
    /// @return the number that were confirmed.
    std::size_t retry_pending(std::size_t limit);

    /// @return the number of claims of attempts that never run and are not yet released.
    std::size_t pending_releases() const;

    /// @return the number of settlements that the store has not confirmed.
    std::size_t pending() const { return m_pending.size(); }

private:
    enum class settle_outcome {
        done,       ///< The row shows the settlement.
        superseded, ///< The row has moved on; nothing is left to write.
        unconfirmed,
        store_unavailable,
    };

    struct pending_claim {
        action_claim claim;
        std::string replaced_tag;    ///< Tag of the row to replace; empty to insert one.
        bool may_be_written = false; ///< The response of a write was lost.
    };

    struct claim_check {
        bool may_claim = false;
        std::string replaced_tag; ///< Tag of the row to replace; empty to insert one.
        claim_outcome outcome;    ///< When the key cannot be claimed.
    };

    claim_check check_row(const table_row& row, const action_claim& claim);
    claim_check check_claimed_row(const action_row& row);
    claim_check check_own_pending(settlement entry);
    claim_check check_own_release(settlement entry);
    claim_outcome replay(const action_row& row);
    static bool record_write_error(pending_claim& tried, const std::error_code& error);
    claim_outcome abandon_claim(const pending_claim& tried);
    bool settle(settlement entry);
    static bool is_final(settle_outcome outcome);
    settle_outcome try_settle(settlement& entry);
    result<std::string> store_body(const settlement& entry);
    action_row claimed_row(const action_claim& claim) const;
    action_row settled_row(const settlement& entry, const std::string& body_object) const;
    result<std::string> write_row(const action_claim& claim, const std::string& row,
                                  const std::string& tag);

    table_service& m_tables;
    object_store& m_objects;
    const clock& m_clock;
    attempt_id_source& m_attempts;
    const incarnation_alive m_alive;
    const action_ledger_limits m_limits;
    settlement_queue m_pending;
};

} // namespace galenaroad
