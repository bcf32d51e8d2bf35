#pragma once

#include "health/ejection_ledger.h"
#include "health/service_evaluation.h"

#include <functional>
#include <string>
#include <vector>

namespace galenaroad {

/// Carries out ejection orders on the store thread, since the table service may be slow.
class ejection_worker {
public:
    /// Receives the row that an order led to; called on the store thread.
    using row_hook = std::function<void(const ejection_command&, const aged_row&)>;

    /// @param tables the table service.
    /// @param time the clock.
    /// @param writer identity of this daemon and its incarnation.
    /// @param written receives the rows.
    ejection_worker(table_service& tables, const clock& time, const std::string& writer,
                    row_hook written);

    /// Carries out one order.
    /// @param order the order.
    /// @return a code of zero, or why the row was not changed.
    std::error_code carry_out(const ejection_command& order);

private:
    ejection_ledger m_ledger;
    row_hook m_written;
};

} // namespace galenaroad
