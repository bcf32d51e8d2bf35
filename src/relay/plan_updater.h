#pragma once

#include "fleet/fleet_store.h"
#include "relay/relay_context.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <tl/expected.hpp>

namespace galenaroad {

/// Puts newer plans in force, from the store's documents and from the changes of peers, and logs
/// where they came from.
class plan_updater {
public:
    /// Decodes a plan document; the error describes what is wrong.
    using document_decoder =
        std::function<tl::expected<routing_plan, std::string>(const plan_document&)>;

    /// @param replaced_version version of the plan before; 0 when there was none.
    /// @param peer address of the peer that sent the plan; empty when it came from the store.
    using replaced_hook =
        std::function<void(std::uint64_t replaced_version, const std::string& peer)>;

    /// @param context shared state; must outlive the updater.
    /// @param decode decodes the documents of the store.
    /// @param on_replaced called when another plan is in force.
    plan_updater(relay_context& context, document_decoder decode, replaced_hook on_replaced);

    /// Puts a document of the store in force if it can be decoded and is newer, or has the version
    /// in force with other contents after the store has come back from a copy.
    /// @param document the document.
    void apply_document(const plan_document& document);

    /// Called when a peer has other contents than this daemon under the version in force: the next
    /// document with that version is compared.
    void expect_other_contents() { m_compares_contents = true; }

    /// Puts the plan that results from a change in force.
    /// @param staged the plan made from the change.
    /// @param peer address of the peer that sent it.
    /// @return false when the change does not fit the plan in force; see plan_replica::apply().
    bool apply_change(const staged_plan& staged, const std::string& peer);

private:
    bool is_known(const plan_document& document);
    bool is_in_force(const routing_plan& plan) const;
    void record_errors(const routing_plan& plan);
    void on_replaced(std::uint64_t replaced_version, const std::string& peer);

    relay_context& m_context;
    document_decoder m_decode;
    replaced_hook m_on_replaced;
    std::optional<store_era> m_era; ///< Of the store, at the latest document.
    /// The store has come back from a copy, or had an older plan than the one in force, so the next
    /// document with the version in force may have other contents.
    bool m_compares_contents = false;
};

} // namespace galenaroad
