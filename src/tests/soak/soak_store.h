#pragma once

#include "net/http_server.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace galenaroad {

/// Stand-in for the platform's store: rows, feeds and conditional writes, with faults.
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

private:
    struct row {
        std::string part;
        std::string value; ///< As it was sent: base64.
        std::uint64_t version = 0;
    };
    struct waiting_feed {
        std::uint64_t id = 0;
        std::shared_ptr<server_exchange> client;
        std::string table;
        std::uint64_t after = 0;
    };

    static nlohmann::json row_json(const std::string& table, const std::string& key,
                                   const row& from);
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
    std::map<std::pair<std::string, std::string>, row> m_rows;
    std::vector<waiting_feed> m_feeds;
    std::string m_silent_table;
    std::uint64_t m_latest_feed = 0;
    std::uint64_t m_version = 0;
};

} // namespace galenaroad
