#include "ctl/contract_change.h"

#include "configuration/contract_changes.h"
#include "ctl/input_file.h"
#include "settings/contract_writer.h"
#include "settings/sheet_merge.h"

#include <optional>

namespace galenaroad {

namespace {

/// The files of one apply.
struct change_files {
    std::optional<contract> declared;
    std::optional<sheet> planned;

    const std::string& business() const
    {
        return declared ? declared->business : planned->business;
    }
};

using files_or_report = tl::expected<change_files, ctl_report>;

auto refused(const std::string& detail)
{
    return tl::make_unexpected(ctl_report::failed(error_kind::invalid_request, detail));
}

files_or_report read_files(const std::vector<std::string>& paths)
{
    change_files files;
    for (const auto& path : paths) {
        auto loaded = read_input_file(path);
        if (!loaded) {
            return tl::make_unexpected(loaded.error());
        }
        if (auto* const declared = std::get_if<contract>(&*loaded)) {
            if (files.declared) {
                return refused("two declarations were given");
            }
            files.declared = std::move(*declared);
        }
        else if (auto* const planned = std::get_if<sheet>(&*loaded)) {
            if (files.planned) {
                return refused("two sheets were given");
            }
            files.planned = std::move(*planned);
        }
        else {
            return refused(path + " is neither a declaration nor a sheet");
        }
    }
    if (!files.declared && !files.planned) {
        return refused("a declaration or a sheet is needed");
    }
    return files;
}

tl::expected<contract, ctl_report> next_contract(const contract& current, const change_files& files)
{
    if (!files.planned) {
        return sheet_merge::keep_sheet(current, *files.declared);
    }
    if (!files.declared && current.version == 0) {
        return tl::make_unexpected(
            ctl_report::failed(error_kind::declaration_invalid,
                               "the business \"" + files.business() +
                                   "\" has no contract yet; apply its declaration first"));
    }
    auto merged = files.declared ? sheet_merge::apply(current, *files.declared, *files.planned)
                                 : sheet_merge::apply(current, *files.planned);
    if (!merged) {
        return tl::make_unexpected(ctl_report::invalid(error_kind::sheet_invalid, merged.error()));
    }
    return std::move(merged->next);
}

} // namespace

tl::expected<contract_change, ctl_report>
contract_change::from_files(const std::vector<std::string>& paths,
                            configuration_committer& committer)
{
    const auto files = read_files(paths);
    if (!files) {
        return tl::make_unexpected(files.error());
    }
    const auto current = committer.read(files->business());
    if (!current) {
        return tl::make_unexpected(ctl_report::failed(kind_of(current.error()), ""));
    }
    auto next = next_contract(*current, *files);
    if (!next) {
        return tl::make_unexpected(next.error());
    }
    contract_change change{*current, contract_writer::normalised(std::move(*next)), {}};
    change.changes = contract_changes(contract_writer::normalised(*current), change.next);
    return change;
}

} // namespace galenaroad
