#include "relay/plan_updater.h"

#include "telemetry/duration_text.h"

#include <algorithm>

namespace galenaroad {

namespace {

// Name of the store as the source of a plan.
constexpr const char* store_source = "store";
// Errors of one plan that are logged individually.
constexpr std::size_t max_logged_errors = 20;

} // namespace

plan_updater::plan_updater(relay_context& context, document_decoder decode,
                           replaced_hook on_replaced)
    : m_context(context), m_decode(std::move(decode)), m_on_replaced(std::move(on_replaced))
{
}

void plan_updater::apply_document(const plan_document& document)
{
    const auto replaced = m_context.plan_version();
    const bool is_seen = is_known(document);
    m_context.metrics.record_plan_document(is_seen ? "known" : "used", document.text.size());
    if (is_seen) {
        return;
    }
    m_compares_contents = false;
    const auto started_at = m_context.now();
    const auto decoded = m_decode(document);
    if (!decoded) {
        m_context.unreadable_plan_version = document.version;
        m_context.metrics.record_unreadable_plan();
        m_context.log.note_state("plan_unreadable", {{"version", std::to_string(document.version)},
                                                     {"error", decoded.error()}});
        return;
    }
    if (is_in_force(*decoded)) {
        return;
    }
    record_errors(*decoded);
    m_context.plans.replace(*decoded);
    m_context.log.note_state("plan_read", {{"version", std::to_string(document.version)},
                                           {"bytes", std::to_string(document.text.size())},
                                           {"decode_ms", ms_text(m_context.now() - started_at)}});
    on_replaced(replaced, "");
}

// Decoding a document takes long, so contents are compared only after a sign of a restore, and with
// the first document that this daemon reads: its plan may be one of a peer, from an earlier era. A
// store that names no era does not come back from a copy.
bool plan_updater::is_known(const plan_document& document)
{
    const auto newest = std::max(m_context.plan_version(), m_context.unreadable_plan_version);
    const bool is_new_era = !m_era || *m_era != document.era;
    m_era = document.era;
    if (is_new_era || document.version < newest) {
        m_compares_contents = document.era.is_known();
    }
    const bool is_other = document.version == newest && m_compares_contents;
    return document.version <= newest && !is_other;
}

bool plan_updater::is_in_force(const routing_plan& plan) const
{
    return plan.version == m_context.plan_version() &&
           plan_index(plan).digest() == m_context.plans.in_force()->digest();
}

bool plan_updater::apply_change(const staged_plan& staged, const std::string& peer)
{
    const auto replaced = m_context.plan_version();
    if (!m_context.plans.apply(staged)) {
        return false;
    }
    m_context.metrics.record_plan_errors(staged.plan().properties().error_count);
    on_replaced(replaced, peer);
    return true;
}

void plan_updater::on_replaced(std::uint64_t replaced_version, const std::string& peer)
{
    const auto& plan = *m_context.plans.in_force();
    m_context.log.note_state("plan_in_force", {{"version", std::to_string(plan.version())},
                                               {"replaces", std::to_string(replaced_version)},
                                               {"from", peer.empty() ? store_source : peer},
                                               {"routes", std::to_string(plan.route_count())}});
    m_context.metrics.record_plan(plan.version(), peer.empty() ? store_source : "peer");
    m_on_replaced(replaced_version, peer);
}

void plan_updater::record_errors(const routing_plan& plan)
{
    m_context.metrics.record_plan_errors(plan.errors.size());
    const auto logged = std::min(plan.errors.size(), max_logged_errors);
    for (std::size_t each = 0; each < logged; ++each) {
        m_context.log.note_state("plan_fault", {{"version", std::to_string(plan.version)},
                                                {"part", plan.errors[each].part},
                                                {"error", plan.errors[each].message}});
    }
    if (logged < plan.errors.size()) {
        m_context.log.note_state("plan_faults_not_listed",
                                 {{"version", std::to_string(plan.version)},
                                  {"count", std::to_string(plan.errors.size() - logged)}});
    }
}

} // namespace galenaroad
