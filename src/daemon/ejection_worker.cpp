#include "daemon/ejection_worker.h"

#include "base/error_kind.h"
#include "telemetry/structured_log.h"

namespace galenaroad {

namespace {

std::string name_of(const upstream_id& id)
{
    return id.instance + '/' + id.name;
}

} // namespace

ejection_worker::ejection_worker(table_service& tables, const clock& time,
                                 const std::string& writer, row_hook written)
    : m_ledger(tables, time, writer), m_written(std::move(written))
{
}

std::error_code ejection_worker::carry_out(const ejection_command& order)
{
    const auto row = galenaroad::execute(order, m_ledger);
    if (row) {
        if (order.kind == ejection_command_kind::propose) {
            structured_log::warning("Upstream is ejected",
                                    {{"upstream", name_of(order.upstream)},
                                     {"service", order.capacity.service.service},
                                     {"reason", order.reason}});
        }
        m_written(order, *row);
        return {};
    }
    structured_log::info("Ejection row is not changed",
                         {{"upstream", name_of(order.upstream)},
                          {"error", std::string(answer_for(kind_of(row.error())).name)}});
    return row.error();
}

} // namespace galenaroad
