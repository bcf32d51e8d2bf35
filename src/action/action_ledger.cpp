#include "action/action_ledger.h"

#include "base/error_kind.h"

#include <algorithm>
#include <utility>

namespace galenaroad {

namespace {

constexpr auto actions_table = "actions";
constexpr auto bodies_bucket = "action-bodies";
// A claim needs at most two writes after a lost response and three after a released key. More are
// needed only while several daemons claim and release the same key at the same time.
constexpr int max_claim_writes = 4;
constexpr int max_settle_writes = 3;

std::string row_key(const action_claim& claim)
{
    return claim.business + "/" + claim.key;
}

// An unreadable row may have been written by a newer version, so its action may have run.
constexpr auto outcome_of_unreadable_row = claim_kind::outcome_unknown;

claim_outcome outcome_of(claim_kind kind)
{
    claim_outcome outcome;
    outcome.kind = kind;
    return outcome;
}

bool is_settled(const action_row& row, const settlement& entry)
{
    if (row.attempt_id != entry.claim.attempt_id) {
        return false;
    }
    switch (entry.kind) {
    case settlement_kind::release:
        return row.state == action_state::released;
    case settlement_kind::complete:
        return row.state == action_state::completed;
    case settlement_kind::unknown:
        break;
    }
    return row.state != action_state::claimed || row.outcome_unknown;
}

// True when the row belongs to another attempt: nothing is left to write, and a write of this
// attempt that is still in transit can no longer match the tag of the row. This does not hold for a
// release and a row that an earlier attempt released: the claim that replaces that row may still be
// applied, so the row is released again, which changes its tag.
bool is_superseded(const action_row& row, const settlement& entry)
{
    return row.attempt_id != entry.claim.attempt_id &&
           (row.state != action_state::released || entry.kind != settlement_kind::release);
}

} // namespace

action_ledger::action_ledger(table_service& tables, object_store& objects, const clock& time,
                             attempt_id_source& attempts, incarnation_alive alive,
                             action_ledger_limits limits)
    : m_tables(tables),
      m_objects(objects),
      m_clock(time),
      m_attempts(attempts),
      m_alive(std::move(alive)),
      m_limits(limits),
      m_pending(limits.max_pending_body_bytes)
{
}

claim_outcome action_ledger::claim(const keyed_request& request)
{
    if (m_pending.size() >= m_limits.max_pending) {
        return outcome_of(claim_kind::store_unavailable);
    }
    pending_claim next{{request.business, request.key, request.digest, m_attempts.next(), {}}, {}};
    const auto row = claimed_row(next.claim).to_json();
    for (int writes = 0; writes < max_claim_writes; ++writes) {
        if (m_clock.steady_now() >= request.deadline) {
            break;
        }
        const auto written = write_row(next.claim, row, next.replaced_tag);
        if (written) {
            next.claim.tag = *written;
            return {claim_kind::won, std::move(next.claim), {}};
        }
        if (!record_write_error(next, written.error())) {
            break;
        }
        const auto current = m_tables.read(actions_table, row_key(next.claim));
        if (!current) {
            break;
        }
        auto checked = check_row(*current, next.claim);
        if (!checked.may_claim) {
            return std::move(checked.outcome);
        }
        next.replaced_tag = std::move(checked.replaced_tag);
    }
    return abandon_claim(next);
}

bool action_ledger::complete(const action_claim& claim, recorded_response response)
{
    return settle({claim, settlement_kind::complete, {}, std::move(response)});
}

bool action_ledger::release(const action_claim& claim, not_run_proof proof)
{
    return settle({claim, settlement_kind::release, proof, {}});
}

bool action_ledger::mark_unknown(const action_claim& claim)
{
    return settle({claim, settlement_kind::unknown, {}, {}});
}

std::size_t action_ledger::retry_pending(std::size_t limit)
{
    std::size_t confirmed = 0;
    const std::size_t tries = std::min(limit, m_pending.size());
    for (std::size_t i = 0; i < tries; ++i) {
        auto entry = m_pending.pop();
        if (!entry) {
            break;
        }
        const auto outcome = try_settle(*entry);
        if (is_final(outcome)) {
            ++confirmed;
            continue;
        }
        m_pending.push(std::move(*entry));
        if (outcome == settle_outcome::store_unavailable) {
            break;
        }
    }
    return confirmed;
}

std::size_t action_ledger::pending_releases() const
{
    return m_pending.count(settlement_kind::release);
}

action_ledger::claim_check action_ledger::check_row(const table_row& row, const action_claim& claim)
{
    if (row.tag.empty()) {
        return {true, {}, {}};
    }
    const auto action = action_row::from_json(row.value);
    if (!action) {
        return {false, {}, outcome_of(outcome_of_unreadable_row)};
    }
    if (action->digest != claim.digest) {
        return {false, {}, outcome_of(claim_kind::key_reused)};
    }
    if (action->state == action_state::released) {
        return {true, row.tag, {}};
    }
    if (action->state == action_state::completed) {
        return {false, {}, replay(*action)};
    }
    if (action->attempt_id == claim.attempt_id) {
        auto won = outcome_of(claim_kind::won);
        won.claim = claim;
        won.claim.tag = row.tag;
        return {false, {}, std::move(won)};
    }
    return check_claimed_row(*action);
}

action_ledger::claim_check action_ledger::check_claimed_row(const action_row& row)
{
    if (row.outcome_unknown) {
        return {false, {}, outcome_of(claim_kind::outcome_unknown)};
    }
    const auto& daemon = m_attempts.daemon();
    if (row.instance != daemon.instance || row.incarnation != daemon.incarnation) {
        const bool alive = m_alive(row.instance, row.incarnation);
        return {
            false, {}, outcome_of(alive ? claim_kind::in_progress : claim_kind::outcome_unknown)};
    }
    auto own = m_pending.take(row.attempt_id);
    if (!own) {
        return {false, {}, outcome_of(claim_kind::in_progress)};
    }
    return check_own_pending(std::move(*own));
}

action_ledger::claim_check action_ledger::check_own_pending(settlement entry)
{
    if (entry.kind == settlement_kind::release) {
        return check_own_release(std::move(entry));
    }
    claim_check checked;
    if (entry.kind == settlement_kind::complete) {
        checked.outcome = {claim_kind::recorded, {}, entry.response};
    }
    else {
        checked.outcome = outcome_of(claim_kind::outcome_unknown);
    }
    m_pending.push(std::move(entry));
    return checked;
}

action_ledger::claim_check action_ledger::check_own_release(settlement entry)
{
    const auto outcome = try_settle(entry);
    if (outcome == settle_outcome::done) {
        return {true, entry.claim.tag, {}};
    }
    // After the release is applied, another daemon may claim the key before this daemon reads the
    // row again. The row then contains that claim, which must not be replaced.
    if (!is_final(outcome)) {
        m_pending.push(std::move(entry));
    }
    return {false, {}, outcome_of(claim_kind::store_unavailable)};
}

claim_outcome action_ledger::replay(const action_row& row)
{
    claim_outcome outcome{claim_kind::recorded, {}, row.response};
    if (row.body_object.empty()) {
        return outcome;
    }
    auto body = m_objects.read(bodies_bucket, row.body_object);
    if (!body) {
        // The action ran, so `not_run` would be wrong; the body may be readable later.
        return outcome_of(claim_kind::outcome_unknown);
    }
    outcome.response.body = std::move(*body);
    return outcome;
}

bool action_ledger::record_write_error(pending_claim& attempted, const std::error_code& error)
{
    const auto kind = kind_of(error);
    attempted.may_be_written = attempted.may_be_written || kind == error_kind::outcome_unknown;
    return kind == error_kind::outcome_unknown || kind == error_kind::version_conflict;
}

claim_outcome action_ledger::abandon_claim(const pending_claim& attempted)
{
    if (attempted.may_be_written) {
        m_pending.push(
            {attempted.claim, settlement_kind::release, not_run_proof::never_dispatched, {}});
    }
    return outcome_of(claim_kind::store_unavailable);
}

bool action_ledger::is_final(settle_outcome outcome)
{
    return outcome == settle_outcome::done || outcome == settle_outcome::superseded;
}

bool action_ledger::settle(settlement entry)
{
    if (is_final(try_settle(entry))) {
        return true;
    }
    m_pending.push(std::move(entry));
    return false;
}

action_ledger::settle_outcome action_ledger::try_settle(settlement& entry)
{
    const auto body_object = store_body(entry);
    if (!body_object) {
        return settle_outcome::unconfirmed;
    }
    const auto row = settled_row(entry, *body_object).to_json();
    bool must_read = entry.claim.tag.empty();
    for (int writes = 0; writes < max_settle_writes; ++writes) {
        if (must_read) {
            const auto current = m_tables.read(actions_table, row_key(entry.claim));
            if (!current) {
                return settle_outcome::store_unavailable;
            }
            entry.claim.tag = current->tag;
            const auto found = action_row::from_json(current->value);
            if (!current->tag.empty() && (!found || is_superseded(*found, entry))) {
                return settle_outcome::superseded;
            }
            if (found && is_settled(*found, entry)) {
                return settle_outcome::done;
            }
        }
        const auto written = write_row(entry.claim, row, entry.claim.tag);
        if (written) {
            entry.claim.tag = *written;
            return settle_outcome::done;
        }
        if (kind_of(written.error()) == error_kind::store_unavailable) {
            return settle_outcome::store_unavailable;
        }
        must_read = true;
    }
    return settle_outcome::unconfirmed;
}

result<std::string> action_ledger::store_body(const settlement& entry)
{
    const auto& body = entry.response.body;
    if (body.size() <= m_limits.max_row_body_bytes) {
        return std::string();
    }
    auto object = entry.claim.business + "/" + entry.claim.attempt_id;
    if (const auto error = m_objects.write(bodies_bucket, object, body)) {
        return tl::unexpected(error);
    }
    return object;
}

action_row action_ledger::claimed_row(const action_claim& claim) const
{
    action_row row;
    row.attempt_id = claim.attempt_id;
    row.instance = m_attempts.daemon().instance;
    row.incarnation = m_attempts.daemon().incarnation;
    row.digest = claim.digest;
    return row;
}

action_row action_ledger::settled_row(const settlement& entry, const std::string& body_object) const
{
    auto row = claimed_row(entry.claim);
    row.outcome_unknown = entry.kind == settlement_kind::unknown;
    row.proof = entry.proof;
    row.response = entry.response;
    row.body_object = body_object;
    if (entry.kind == settlement_kind::release) {
        row.state = action_state::released;
    }
    if (entry.kind == settlement_kind::complete) {
        row.state = action_state::completed;
    }
    return row;
}

result<std::string> action_ledger::write_row(const action_claim& claim, const std::string& row,
                                             const std::string& tag)
{
    if (tag.empty()) {
        return m_tables.insert(actions_table, row_key(claim), row);
    }
    return m_tables.update(actions_table, row_key(claim), row, tag);
}

} // namespace galenaroad
