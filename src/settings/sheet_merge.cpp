#include "settings/sheet_merge.h"

#include "settings/contract_writer.h"
#include "settings/nearest_name.h"

#include <algorithm>

namespace galenaroad {

namespace {

service* find_service(contract& value, const std::string& name)
{
    const auto found = std::find_if(value.services.begin(), value.services.end(),
                                    [&](const service& entry) { return entry.name == name; });
    return found == value.services.end() ? nullptr : &*found;
}

const route* find_route(const contract& value, const route& wanted)
{
    const auto found =
        std::find_if(value.routes.begin(), value.routes.end(), [&](const route& entry) {
            return entry.path_prefix == wanted.path_prefix && entry.methods == wanted.methods;
        });
    return found == value.routes.end() ? nullptr : &*found;
}

std::vector<std::string> service_names(const contract& value)
{
    std::vector<std::string> names;
    for (const auto& entry : value.services) {
        names.push_back(entry.name);
    }
    return names;
}

void apply_row(contract& next, const sheet_row& row)
{
    auto* const target = find_service(next, row.service);
    target->floor_slots = row.floor_slots;
    target->policy = row.policy;
    for (auto& entry : next.routes) {
        if (entry.service == row.service) {
            entry.timeout = std::min(entry.timeout, row.max_timeout);
        }
    }
}

std::vector<source_error> check_services(const contract& base, const sheet& planned)
{
    std::vector<source_error> errors;
    const auto names = service_names(base);
    for (const auto& row : planned.rows) {
        if (std::find(names.begin(), names.end(), row.service) == names.end()) {
            errors.push_back({planned.file, row.line, row.column,
                              "the business has no service \"" + row.service +
                                  "\"; did you mean \"" + nearest_name(row.service, names) +
                                  "\"?"});
        }
    }
    for (const auto& name : names) {
        const auto is_for_service = [&](const sheet_row& row) { return row.service == name; };
        if (std::none_of(planned.rows.begin(), planned.rows.end(), is_for_service)) {
            errors.push_back({planned.file, planned.end_line, 1,
                              "the sheet has no row for the service \"" + name + '"'});
        }
    }
    return errors;
}

/// Checks whether the contract in force already satisfies the whole sheet.
bool is_in_effect(const contract& current, const sheet& planned)
{
    return std::all_of(planned.rows.begin(), planned.rows.end(), [&](const sheet_row& row) {
        const auto is_in_force = [&](const service& entry) {
            return entry.name == row.service && entry.floor_slots == row.floor_slots &&
                   entry.policy == row.policy;
        };
        const auto exceeds_max_timeout = [&](const route& entry) {
            return entry.service == row.service && entry.timeout > row.max_timeout;
        };
        return std::any_of(current.services.begin(), current.services.end(), is_in_force) &&
               std::none_of(current.routes.begin(), current.routes.end(), exceeds_max_timeout);
    });
}

std::vector<source_error> check_sheet(const contract& current, const contract& declared,
                                      const sheet& planned)
{
    constexpr int first_row_line = 2;
    const auto error_at_start = [&](const std::string& message) {
        return std::vector<source_error>{{planned.file, first_row_line, 1, message}};
    };
    if (planned.business != declared.business) {
        return error_at_start("the sheet is for the business \"" + planned.business +
                              "\", not for \"" + declared.business + '"');
    }
    auto errors = check_services(declared, planned);
    if (!errors.empty()) {
        return errors;
    }
    // Dates in the format YYYY-MM-DD can be compared as text.
    const bool is_newer = planned.date > current.sheet_date;
    const bool is_same = planned.date == current.sheet_date && is_in_effect(current, planned);
    if (!is_newer && !is_same) {
        return error_at_start("the date " + planned.date +
                              " is not newer than that of the sheet in force, " +
                              current.sheet_date + ", and the content differs");
    }
    return {};
}

} // namespace

load_result<merged_contract> sheet_merge::apply(const contract& current, const sheet& planned)
{
    return apply(current, current, planned);
}

load_result<merged_contract> sheet_merge::apply(const contract& current, const contract& declared,
                                                const sheet& planned)
{
    auto errors = check_sheet(current, declared, planned);
    if (!errors.empty()) {
        return tl::make_unexpected(std::move(errors));
    }
    merged_contract merged{declared, true};
    for (const auto& row : planned.rows) {
        apply_row(merged.next, row);
    }
    merged.next.version = current.version;
    merged.next.writer = current.writer;
    merged.next.sheet_date = planned.date;
    merged.changed = planned.date != current.sheet_date ||
                     contract_writer::to_yaml(merged.next) != contract_writer::to_yaml(current);
    return merged;
}

contract sheet_merge::keep_sheet(const contract& current, contract declared)
{
    if (current.sheet_date.empty()) {
        return declared;
    }
    declared.sheet_date = current.sheet_date;
    for (const auto& entry : current.services) {
        auto* const target = find_service(declared, entry.name);
        if (target != nullptr) {
            target->floor_slots = entry.floor_slots;
            target->policy = entry.policy;
        }
    }
    for (auto& entry : declared.routes) {
        const auto* const existing = find_route(current, entry);
        if (existing != nullptr && existing->service == entry.service) {
            entry.timeout = std::min(entry.timeout, existing->timeout);
        }
    }
    return declared;
}

} // namespace galenaroad
