#include "health/ejection_ledger.h"

#include "base/error_kind.h"

#include <algorithm>

namespace galenaroad {

namespace {

std::chrono::milliseconds time_left(steady_time end, steady_time now)
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(end - now);
    return std::max(left, std::chrono::milliseconds(0));
}

bool has_kind(const std::error_code& code, error_kind kind)
{
    return code == make_error_code(kind);
}

tl::unexpected<std::error_code> failed(error_kind kind)
{
    return tl::unexpected(make_error_code(kind));
}

void set_entry(ejection_row& row, ejection_entry entry)
{
    if (ejection_entry* present = row.find(entry.upstream)) {
        *present = std::move(entry);
        return;
    }
    row.entries.push_back(std::move(entry));
}

void renew_entry(ejection_entry& entry, const std::string& write_id)
{
    entry.grant_id = write_id;
    entry.remaining = ejection_row::validity;
    entry.counted = ejection_row::validity + ejection_row::grace_period;
}

// The age of a drain that another daemon wrote is unknown here, and a daemon that receives this row
// before the row of that drain would ignore the drain. Renewing it costs no capacity, since a drain
// counts against the floor until it is released.
void renew_drains(ejection_row& row, const std::string& write_id)
{
    for (ejection_entry& entry : row.entries) {
        if (entry.kind == removal_kind::drained) {
            renew_entry(entry, write_id);
        }
    }
}

} // namespace

ejection_ledger::ejection_ledger(table_service& store, const clock& time, std::string writer)
    : m_store(store), m_clock(time), m_writer(std::move(writer))
{
}

result<aged_row> ejection_ledger::propose(const service_capacity& capacity,
                                          const upstream_id& upstream, const std::string& reason)
{
    return update_row(capacity.service,
                      [&](ejection_row& row, const std::string& write_id) -> result<bool> {
                          if (!row.may_remove(capacity, upstream)) {
                              return failed(error_kind::floor_would_be_breached);
                          }
                          const ejection_entry* present = row.find(upstream);
                          if (present != nullptr && present->kind == removal_kind::drained) {
                              return false;
                          }
                          set_entry(row, make_entry(*capacity.find(upstream), removal_kind::ejected,
                                                    reason, write_id));
                          renew_drains(row, write_id);
                          return true;
                      });
}

result<aged_row> ejection_ledger::renew(const service_capacity& capacity,
                                        const std::vector<upstream_id>& upstreams)
{
    const auto is_renewed = [&](const ejection_entry& entry) {
        return entry.kind == removal_kind::drained ||
               (entry.kind == removal_kind::ejected &&
                std::find(upstreams.begin(), upstreams.end(), entry.upstream) != upstreams.end());
    };
    return update_row(capacity.service,
                      [&](ejection_row& row, const std::string& write_id) -> result<bool> {
                          if (row.slots_in_service(capacity) < capacity.floor_slots) {
                              return failed(error_kind::floor_would_be_breached);
                          }
                          bool changed = false;
                          for (ejection_entry& entry : row.entries) {
                              if (is_renewed(entry)) {
                                  renew_entry(entry, write_id);
                                  changed = true;
                              }
                          }
                          return changed;
                      });
}

result<aged_row> ejection_ledger::release(const service_id& service, const upstream_id& upstream)
{
    return update_row(service, [&](ejection_row& row, const std::string&) -> result<bool> {
        ejection_entry* entry = row.find(upstream);
        if (entry == nullptr || entry->kind == removal_kind::released) {
            return false;
        }
        entry->kind = removal_kind::released;
        entry->remaining = std::chrono::milliseconds(0);
        return true;
    });
}

result<aged_row> ejection_ledger::drain(const service_capacity& capacity,
                                        const upstream_id& upstream, const std::string& reason)
{
    return update_row(capacity.service,
                      [&](ejection_row& row, const std::string& write_id) -> result<bool> {
                          if (!row.may_remove(capacity, upstream)) {
                              return failed(error_kind::floor_would_be_breached);
                          }
                          set_entry(row, make_entry(*capacity.find(upstream), removal_kind::drained,
                                                    reason, write_id));
                          renew_drains(row, write_id);
                          return true;
                      });
}

result<aged_row> ejection_ledger::refresh(const service_id& service)
{
    const auto known = read(service, {}, m_clock.steady_now());
    if (!known) {
        return tl::unexpected(known.error());
    }
    return make_aged_row(**known);
}

// Every attempt reads the row first, so that a write is always based on the row in the store.
result<aged_row> ejection_ledger::update_row(const service_id& service, const row_edit& apply)
{
    for (int attempt = 0; attempt < max_write_attempts; ++attempt) {
        const auto known = read(service, {}, m_clock.steady_now());
        if (!known) {
            return tl::unexpected(known.error());
        }
        const std::string tag = (*known)->tag;
        const std::string write_id = m_writer + '#' + std::to_string(++m_serial);
        ejection_row next = current_row(**known);
        next.sequence += 1;
        next.write_id = write_id;
        const auto changed = apply(next, write_id);
        if (!changed) {
            return tl::unexpected(changed.error());
        }
        if (!*changed) {
            return make_aged_row(**known);
        }
        const steady_time started_at = m_clock.steady_now();
        const auto written_tag = write_row(service, next, tag);
        if (written_tag) {
            return make_aged_row(
                update_known_row(std::move(next), *written_tag, write_id, started_at));
        }
        if (has_kind(written_tag.error(), error_kind::version_conflict)) {
            continue;
        }
        if (!has_kind(written_tag.error(), error_kind::outcome_unknown)) {
            return tl::unexpected(written_tag.error());
        }
        const auto applied = was_applied(service, write_id, started_at);
        if (!applied) {
            return tl::unexpected(applied.error());
        }
        if (*applied) {
            return make_aged_row(m_rows.at(service));
        }
    }
    return failed(error_kind::version_conflict);
}

result<std::string> ejection_ledger::write_row(const service_id& service, const ejection_row& next,
                                               const std::string& tag)
{
    ++m_writes;
    const std::string key = ejection_row::key(service);
    if (tag.empty()) {
        return m_store.insert(table_name, key, next.text());
    }
    return m_store.update(table_name, key, next.text(), tag);
}

// Called when the response to a write was lost. The write was applied if its id is in the row or
// in an entry that a later writer kept. A write that is still in transit applies only to the old
// tag; if it is applied later, every writer reads its entries and counts them.
result<bool> ejection_ledger::was_applied(const service_id& service, const std::string& write_id,
                                          steady_time started_at)
{
    const auto known = read(service, write_id, started_at);
    if (!known) {
        return failed(error_kind::outcome_unknown);
    }
    const ejection_row& row = (*known)->row;
    return row.write_id == write_id ||
           std::any_of(row.entries.begin(), row.entries.end(),
                       [&](const ejection_entry& entry) { return entry.grant_id == write_id; });
}

result<ejection_ledger::known_row*> ejection_ledger::read(const service_id& service,
                                                          const std::string& own_write_id,
                                                          steady_time started_at)
{
    const auto read_row = m_store.read(table_name, ejection_row::key(service));
    if (!read_row) {
        return tl::unexpected(read_row.error());
    }
    if (read_row->tag.empty()) {
        ejection_row none;
        none.service = service;
        return &update_known_row(std::move(none), {}, own_write_id, started_at);
    }
    auto row = ejection_row::parse(read_row->value);
    if (!row) {
        return tl::unexpected(row.error());
    }
    return &update_known_row(std::move(*row), read_row->tag, own_write_id, started_at);
}

// The times of this daemon's own grant run from the start of its write. The age of another daemon's
// grant is unknown: it counts against the floor for its full time from the first read, and this
// read alone does not put it into force.
ejection_ledger::known_row& ejection_ledger::update_known_row(ejection_row row, std::string tag,
                                                              const std::string& own_write_id,
                                                              steady_time started_at)
{
    known_row& known = m_rows[row.service];
    const steady_time now = m_clock.steady_now();
    std::map<std::string, known_grant> grants;
    for (const ejection_entry& entry : row.entries) {
        const std::string name =
            entry.upstream.instance + '/' + entry.upstream.name + '/' + entry.grant_id;
        const auto seen = known.grants.find(name);
        if (seen != known.grants.end()) {
            grants.insert(*seen);
        }
        else if (!own_write_id.empty() && entry.grant_id == own_write_id) {
            grants[name] = {started_at + ejection_row::validity,
                            started_at + ejection_row::validity + ejection_row::grace_period};
        }
        else {
            grants[name] = {now, now + entry.counted};
        }
    }
    known.row = std::move(row);
    known.tag = std::move(tag);
    known.grants = std::move(grants);
    return known;
}

// Returns the row with its times as of now, without entries that no daemon applies any more.
ejection_row ejection_ledger::current_row(const known_row& known) const
{
    const steady_time now = m_clock.steady_now();
    ejection_row present = known.row;
    present.entries.clear();
    for (ejection_entry entry : known.row.entries) {
        const known_grant& grant = known.grants.at(entry.upstream.instance + '/' +
                                                   entry.upstream.name + '/' + entry.grant_id);
        const bool is_drain = entry.kind == removal_kind::drained;
        if (grant.counted_until <= now && !is_drain) {
            continue;
        }
        const bool is_released = entry.kind == removal_kind::released;
        entry.remaining =
            is_released ? std::chrono::milliseconds(0) : time_left(grant.valid_until, now);
        entry.counted = is_drain ? ejection_row::validity + ejection_row::grace_period
                                 : time_left(grant.counted_until, now);
        present.entries.push_back(std::move(entry));
    }
    return present;
}

// The times in the returned row are as of now, so its age is zero.
aged_row ejection_ledger::make_aged_row(const known_row& known) const
{
    return {current_row(known), std::chrono::milliseconds(0)};
}

ejection_entry ejection_ledger::make_entry(const capacity_member& member, removal_kind kind,
                                           const std::string& reason,
                                           const std::string& write_id) const
{
    ejection_entry entry;
    entry.upstream = member.upstream;
    entry.incarnation = member.incarnation;
    entry.slots = member.slots;
    entry.kind = kind;
    entry.reason = reason;
    renew_entry(entry, write_id);
    return entry;
}

} // namespace galenaroad
