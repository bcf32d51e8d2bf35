#pragma once

#include "net/http_server.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace galenaroad {

/// Stand-in for the platform's store: rows, feeds and conditional writes, with faults and with
/// restores of an older copy.
class soak_store {
public:
    enum class fault { none, refuses, slow, loses_answers };

    /// @param loop the loop; must outlive the store.
    /// @param address where it listens.
    /// @param random decides which answers are lost.
    soak_store(event_loop& loop, const std::string& address, std::mt19937_64 random);

    /// Changes how it misbehaves.
    void set_fault(fault how) { m_fault = how; }

    /// Leaves all calls about one table unanswered.
    void silence_table(const std::string& table) { m_silent_table = table; }

    /// Writes a row as the operators do, whatever the fault.
    void write(const std::string& table, const std::string& key, const std::string& value);

    /// Removes a row as the operators do, whatever the fault.
    void remove(const std::string& table, const std::string& key);

    /// Loses all changes of the last while, as a store that comes back from a copy does. Its
    /// version goes back, its era rises, and held feeds are cut.
    /// @param age age of the copy.
    /// @return the newest row of the operators' table that was lost, if one was.
    std::optional<std::string> restore(std::chrono::milliseconds age);

    /// Sets the text of the era in all responses; none is sent for an empty text. A restore
    /// replaces the text by its own.
    void set_era(std::string text) { m_era_text = std::move(text); }

    /// Keeps the next write unanswered and performs it only in perform_late_write().
    void delay_next_write() { m_delays_next_write = true; }

    /// Performs the delayed write if its condition holds.
    void perform_late_write();

    /// @return the value of a row, decoded; empty when there is none.
    std::string value_of(const std::string& table, const std::string& key) const;

    /// @return the version of a row; 0 when there is none.
    std::uint64_t version_of(const std::string& table, const std::string& key) const;

    /// @return the latest version.
    std::uint64_t version() const { return m_version; }

    /// Number of conditional writes that were received.
    int writes = 0;

private:
    struct row {
        std::string part;
        std::string value; ///< As it was sent: base64.
        std::uint64_t version = 0;
        bool is_removed = false;
    };
    using row_name = std::pair<std::string, std::string>; ///< Table and key.
    /// A change that a restore can undo.
    struct logged_change {
        steady_time at;
        row_name name;
        std::optional<row> before;
        std::uint64_t version_before = 0;
    };
    struct waiting_feed {
        std::uint64_t id = 0;
        std::shared_ptr<server_exchange> client;
        std::string table;
        std::uint64_t after = 0;
    };

    static nlohmann::json row_json(const std::string& table, const std::string& key,
                                   const row& from);
    void reply(server_exchange& client, int status, const std::string& body) const;
    bool apply(const nlohmann::json& transaction, std::string& conflict);
    const row* find(const row_name& name) const;
    void handle(const std::shared_ptr<server_exchange>& client);
    void serve(const std::shared_ptr<server_exchange>& client);
    void transact(const std::shared_ptr<server_exchange>& client);
    void put(const std::string& table, const std::string& key, row written);
    std::string parts_of(const std::string& table) const;
    void hold_feed(waiting_feed feed, std::chrono::milliseconds wait);
    void end_feed(std::uint64_t id);
    void answer_feeds();
    std::string rows_in(const std::string& table, const std::string& part) const;
    std::string rows_after(const std::string& table, std::uint64_t after, bool& is_empty) const;

    event_loop& m_loop;
    std::mt19937_64 m_random;
    http_server m_server;
    fault m_fault = fault::none;
    std::map<row_name, row> m_rows;
    std::vector<logged_change> m_log;
    std::uint64_t m_era = 1;
    std::string m_era_text = "1";
    bool m_delays_next_write = false;
    nlohmann::json m_late_write;
    std::vector<waiting_feed> m_feeds;
    std::string m_silent_table;
    std::uint64_t m_latest_feed = 0;
    std::uint64_t m_version = 0;
};

} // namespace galenaroad
