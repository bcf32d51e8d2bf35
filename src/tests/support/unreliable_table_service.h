#pragma once

#include "base/error_kind.h"
#include "base/random_engine.h"
#include "platform/table_service.h"

#include <functional>
#include <utility>
#include <vector>

namespace galenaroad {

/// Shares of a daemon's store calls that fail.
struct store_fault_shares {
    double refused = 0;
    double lost_response = 0;
    double late_effect = 0; ///< The writer sees a timeout; the write takes effect later.
};

/// Writes and messages that are still on their way.
using late_effects = std::vector<std::function<void()>>;

/// One daemon's connection to a table service. Calls a hook before and after each effect, where
/// other tasks may run or the daemon may crash.
class unreliable_table_service : public table_service {
public:
    struct parts {
        table_service& tables;
        late_effects& late;
        random_engine& random;
        const store_fault_shares& shares;
        const bool& read_claimed_as_released;
        std::function<void()> step;
    };

    explicit unreliable_table_service(parts with) : m_parts(std::move(with)) {}

    result<table_row> read(const std::string& table, const std::string& key) override
    {
        m_parts.step();
        if (chance(m_parts.shares.refused + m_parts.shares.lost_response)) {
            return tl::unexpected(make_error_code(error_kind::store_unavailable));
        }
        auto row = m_parts.tables.read(table, key);
        m_parts.step();
        if (m_parts.read_claimed_as_released) {
            plant_release(row->value);
        }
        return row;
    }

    result<std::vector<table_row>> list(const std::string& table, const std::string& prefix,
                                        int limit) override
    {
        return m_parts.tables.list(table, prefix, limit);
    }

    result<std::string> insert(const std::string& table, const std::string& key,
                               const std::string& value) override
    {
        auto& tables = m_parts.tables;
        return write([&tables, table, key, value] { return tables.insert(table, key, value); });
    }

    result<std::string> update(const std::string& table, const std::string& key,
                               const std::string& value, const std::string& tag) override
    {
        auto& tables = m_parts.tables;
        return write(
            [&tables, table, key, value, tag] { return tables.update(table, key, value, tag); });
    }

    std::error_code remove(const std::string& table, const std::string& key,
                           const std::string& tag) override
    {
        return m_parts.tables.remove(table, key, tag);
    }

private:
    result<std::string> write(std::function<result<std::string>()> effect)
    {
        m_parts.step();
        if (chance(m_parts.shares.refused)) {
            return tl::unexpected(make_error_code(error_kind::store_unavailable));
        }
        if (chance(m_parts.shares.late_effect)) {
            m_parts.late.emplace_back(std::move(effect));
            return tl::unexpected(make_error_code(error_kind::outcome_unknown));
        }
        auto written = effect();
        m_parts.step();
        if (chance(m_parts.shares.lost_response)) {
            return tl::unexpected(make_error_code(error_kind::outcome_unknown));
        }
        return written;
    }

    bool chance(double share)
    {
        return share > 0 && std::uniform_real_distribution<>(0, 1)(m_parts.random) < share;
    }

    static void plant_release(std::string& row)
    {
        const std::string claimed = R"("state":"claimed")";
        const auto at = row.find(claimed);
        if (at != std::string::npos) {
            row.replace(at, claimed.size(), R"("proof":"fenced","state":"released")");
        }
    }

    parts m_parts;
};

} // namespace galenaroad
