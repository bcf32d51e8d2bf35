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
    std::string digest; ///< Digest of the request; see request_digest.
    steady_time deadline;
};

/// Result of a request to claim a key.
enum class claim_kind {
    won,             ///< The attempt of this claim may be dispatched once.
    recorded,        ///< The action ran; its response is recorded.
    in_progress,     ///< Another attempt holds the key and its daemon is alive.
    outcome_unknown, ///< Another attempt may have run; no attempt with the key is dispatched again.
    key_reused,      ///< The key was used for a different request.
    store_unavailable, ///< Not claimed; no attempt is dispatched for this request.
};

/// Result of a request to claim a key, with the claim or the response.
struct claim_outcome {
    claim_kind kind = claim_kind::store_unavailable;
    action_claim claim;         ///< For `won`.
    recorded_response response; ///< For `recorded`.
};

/// Limits of the ledger.
struct action_ledger_limits {
    /// Larger bodies are written to the object store (docs/design.md, section 4.2).
    std::size_t max_row_body_bytes = std::size_t{16} * 1024;
    /// With this many pending settlements no key is claimed, so that an outage of the store for
    /// hours does not exhaust the memory.
    std::size_t max_pending = 10000;
    /// Maximum size of the response bodies of pending settlements; see settlement_queue.
    std::size_t max_pending_body_bytes = std::size_t{4} * 1024 * 1024;
};

/// Returns whether an incarnation of an instance's daemon may still be running.
using incarnation_alive =
    std::function<bool(const std::string& instance, std::uint64_t incarnation)>;

/// Claims callers' idempotency keys in the table `actions`, so that an action is dispatched at most
/// once. Thread-safe; no lock is held during a call to a store.
class action_ledger {
public:
    /// All references must outlive the ledger.
    /// @param tables the table service.
    /// @param objects the object store.
    /// @param time the clock.
    /// @param attempts generates the attempt ids.
    /// @param alive returns whether the daemon that claimed a key may still be running.
    /// @param limits the limits.
    action_ledger(table_service& tables, object_store& objects, const clock& time,
                  attempt_id_source& attempts, incarnation_alive alive,
                  action_ledger_limits limits = {});

    /// Claims the key of a request, unless it is already in use.
    /// @param request the request.
    /// @return the claim, the recorded response, or why the key cannot be claimed.
    claim_outcome claim(const keyed_request& request);

    /// Records the response of the claim's attempt. When the store does not confirm the write,
    /// retry_pending() repeats it later.
    /// @param claim the claim.
    /// @param response the complete response.
    /// @return true when the store has confirmed the write.
    bool complete(const action_claim& claim, recorded_response response);

    /// Releases the key, because the attempt certainly did not run and never will.
    /// @param claim the claim.
    /// @param proof why that is certain.
    /// @return true when the store has confirmed the write.
    bool release(const action_claim& claim, not_run_proof proof);

    /// Records that the attempt may have run, so that a retry by the caller gets `outcome_unknown`
    /// instead of `in_progress`. The attempt may still be completed.
    /// @param claim the claim.
    /// @return true when the store has confirmed the write.
    bool mark_unknown(const action_claim& claim);

    /// Writes the settlements that the store has not confirmed. Stops when the store is
    /// unavailable.
    /// @param limit the maximum number of settlements to write.
    /// @return the number of confirmed settlements.
    std::size_t retry_pending(std::size_t limit);

    /// @return the number of claims that are to be released and not confirmed as released.
    std::size_t pending_releases() const;

    /// @return the number of settlements that the store has not confirmed.
    std::size_t pending() const { return m_pending.size(); }

private:
    enum class settle_outcome {
        done,        ///< The settlement is in the row.
        superseded,  ///< The row belongs to another attempt; nothing is left to write.
        unconfirmed, ///< Not confirmed by the store; to be retried.
        store_unavailable,
    };

    /// A claim whose write is not confirmed yet.
    struct pending_claim {
        action_claim claim;
        std::string replaced_tag;    ///< Tag of the row to replace; empty to insert one.
        bool may_be_written = false; ///< The response of a write was lost.
    };

    /// Whether the row of a key permits a claim.
    struct claim_check {
        bool may_claim = false;
        std::string replaced_tag; ///< Tag of the row to replace; empty to insert one.
        claim_outcome outcome;    ///< When `may_claim` is false.
    };

    claim_check check_row(const table_row& row, const action_claim& claim);
    claim_check check_claimed_row(const action_row& row);
    claim_check check_own_pending(settlement entry);
    claim_check check_own_release(settlement entry);
    claim_outcome replay(const action_row& row);
    /// Records the error of the write of a claim. Returns whether the row has to be read next.
    static bool record_write_error(pending_claim& attempted, const std::error_code& error);
    claim_outcome abandon_claim(const pending_claim& attempted);
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
