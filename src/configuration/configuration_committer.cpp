#include "configuration/configuration_committer.h"

#include "base/error_kind.h"
#include "configuration/contract_changes.h"
#include "platform/object_store.h"
#include "platform/table_service.h"

#include <utility>

namespace galenaroad {

namespace {

// After an unknown outcome the same write is retried with the same tag. If the first attempt was
// applied after all, the retry conflicts, and reading the row again shows this writer.
constexpr int max_attempts = 3;

auto failure(error_kind kind)
{
    return tl::unexpected(make_error_code(kind));
}

} // namespace

configuration_committer::configuration_committer(table_service& table, object_store& objects)
    : m_table(table), m_objects(objects)
{
}

result<configuration_committer::stored_row>
configuration_committer::read_row(const std::string& business)
{
    const auto read = m_table.read(contracts_table, business);
    if (!read) {
        return tl::unexpected(read.error());
    }
    if (read->tag.empty()) {
        return stored_row{};
    }
    auto row = load_row(read->value, m_objects);
    if (!row) {
        return tl::unexpected(row.error());
    }
    return stored_row{std::move(*row), read->tag};
}

result<contract> configuration_committer::read(const std::string& business)
{
    auto current = read_row(business);
    if (!current) {
        return tl::unexpected(current.error());
    }
    return std::move(current->row.value);
}

std::error_code configuration_committer::write(const stored_row& current, const contract& next)
{
    const auto value = next_row_value(current.row, next, m_objects);
    if (!value) {
        return value.error();
    }
    const auto written = current.tag.empty()
                             ? m_table.insert(contracts_table, next.business, *value)
                             : m_table.update(contracts_table, next.business, *value, current.tag);
    return written ? std::error_code() : written.error();
}

commit_outcome configuration_committer::rejected_outcome(const contract& base,
                                                         const contract& current,
                                                         const contract& next)
{
    // No row refers to the body of a rejected write. If its removal fails, it only stays unused.
    static_cast<void>(m_objects.remove(contracts_table, body_key(next)));
    return {false, current, contract_changes(base, current)};
}

result<commit_outcome> configuration_committer::commit(const contract& base, contract next,
                                                       const std::string& writer)
{
    next.business = base.business.empty() ? next.business : base.business;
    next.version = base.version + 1;
    next.writer = writer;
    bool may_be_written = false;
    for (int attempt = 0; attempt < max_attempts; ++attempt) {
        auto current = read_row(next.business);
        if (!current) {
            return failure(may_be_written ? error_kind::outcome_unknown : kind_of(current.error()));
        }
        if (current->row.has_accepted(next.version, writer)) {
            return commit_outcome{true, next, {}};
        }
        if (current->row.value.version != base.version) {
            return rejected_outcome(base, current->row.value, next);
        }
        const auto error = write(*current, next);
        if (!error) {
            return commit_outcome{true, next, {}};
        }
        if (error == error_kind::store_unavailable && !may_be_written) {
            return failure(error_kind::store_unavailable);
        }
        // A conflict is resolved by reading the row again in the next attempt.
        may_be_written = may_be_written || error != error_kind::version_conflict;
    }
    return failure(may_be_written ? error_kind::outcome_unknown : error_kind::version_conflict);
}

} // namespace galenaroad
