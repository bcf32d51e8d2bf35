#include "soak/soak_store.h"

#include "store_rows.h"
#include "wire_names.h"

#include <Poco/URI.h>
#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

namespace galenaroad {

namespace {

using namespace std::chrono_literals;
using json = nlohmann::json;

constexpr auto slow_time = 800ms;
constexpr double lost_share = 0.3;

constexpr const char* era_field = "Store-Era";

std::string parameter(const std::string& target, const std::string& name)
{
    for (const auto& [key, value] : Poco::URI(target).getQueryParameters()) {
        if (key == name) {
            return value;
        }
    }
    return {};
}

} // namespace

soak_store::soak_store(event_loop& loop, const std::string& address, std::mt19937_64 random)
    : m_loop(loop),
      m_random(random),
      m_server(loop, {}, [this](const auto& client) { handle(client); })
{
    m_server.listen(address);
}

void soak_store::write(const std::string& table, const std::string& key, const std::string& value)
{
    const auto transaction =
        json::parse(store_rows_codec::encode_replacement(table, "", key, value, 0));
    put(table, key, {"", transaction["upserts"][0]["value"].get<std::string>()});
}

void soak_store::remove(const std::string& table, const std::string& key)
{
    auto removed = m_rows.at({table, key});
    removed.is_removed = true;
    put(table, key, std::move(removed));
}

void soak_store::reply(server_exchange& client, int status, const std::string& body) const
{
    http_response_head head;
    head.status = status;
    if (!m_era_text.empty()) {
        head.fields = {{era_field, m_era_text}};
    }
    client.respond(std::move(head), body);
}

std::optional<std::string> soak_store::restore(std::chrono::milliseconds age)
{
    const auto copied_at = m_loop.time().steady_now() - age;
    const auto plan = value_of(wire::operator_table, wire::plan_key);
    while (!m_log.empty() && m_log.back().at > copied_at) {
        auto& undone = m_log.back();
        m_version = undone.version_before;
        if (undone.before) {
            m_rows[undone.name] = std::move(*undone.before);
        }
        else {
            m_rows.erase(undone.name);
        }
        m_log.pop_back();
    }
    m_era_text = std::to_string(++m_era);
    for (const auto& each : std::exchange(m_feeds, {})) {
        each.client->abort();
    }
    const bool is_lost = plan != value_of(wire::operator_table, wire::plan_key);
    return is_lost ? std::make_optional(plan) : std::nullopt;
}

const soak_store::row* soak_store::find(const row_name& name) const
{
    const auto found = m_rows.find(name);
    return found == m_rows.end() || found->second.is_removed ? nullptr : &found->second;
}

std::string soak_store::value_of(const std::string& table, const std::string& key) const
{
    const auto* const held = find({table, key});
    if (held == nullptr) {
        return {};
    }
    const json made{{"rows", json::array({row_json(table, key, *held)})}};
    return store_rows_codec::decode(made.dump())->rows.front().value;
}

std::uint64_t soak_store::version_of(const std::string& table, const std::string& key) const
{
    const auto* const held = find({table, key});
    return held == nullptr ? 0 : held->version;
}

void soak_store::handle(const std::shared_ptr<server_exchange>& client)
{
    if (m_fault == fault::refuses) {
        reply(*client, 503, "{}");
        return;
    }
    if (m_fault == fault::slow) {
        m_loop.after(slow_time, [this, client] { serve(client); });
        return;
    }
    serve(client);
}

void soak_store::serve(const std::shared_ptr<server_exchange>& client)
{
    const auto& target = client->head().target;
    const auto path = target.substr(0, target.find('?'));
    if (path == wire::rows_transaction) {
        transact(client);
        return;
    }
    const auto table = parameter(target, "table");
    if (table == m_silent_table) {
        return;
    }
    if (path == wire::rows_parts) {
        reply(*client, 200, parts_of(table));
        return;
    }
    if (path == wire::rows_get) {
        reply(*client, 200, rows_in(table, parameter(target, "part")));
        return;
    }
    const auto after = http_head::parse_number(parameter(target, "after")).value_or(0);
    if (after > m_version) {
        reply(*client, 410, "{}");
        return;
    }
    bool is_empty = false;
    const auto body = rows_after(table, after, is_empty);
    const std::chrono::milliseconds wait(
        http_head::parse_number(parameter(target, "wait_ms")).value_or(0));
    if (is_empty && wait > 0ms) {
        hold_feed({++m_latest_feed, client, table, after}, wait);
        return;
    }
    reply(*client, 200, body);
}

void soak_store::hold_feed(waiting_feed feed, std::chrono::milliseconds wait)
{
    m_loop.after(wait, [this, id = feed.id] { end_feed(id); });
    m_feeds.push_back(std::move(feed));
}

// Answers a feed at the end of its wait, if it is still held.
void soak_store::end_feed(std::uint64_t id)
{
    const auto found = std::find_if(m_feeds.begin(), m_feeds.end(),
                                    [id](const auto& each) { return each.id == id; });
    if (found == m_feeds.end()) {
        return;
    }
    const auto ended = std::move(*found);
    m_feeds.erase(found);
    if (ended.table == m_silent_table) {
        return;
    }
    bool is_empty = false;
    reply(*ended.client, 200, rows_after(ended.table, ended.after, is_empty));
}

void soak_store::transact(const std::shared_ptr<server_exchange>& client)
{
    ++writes;
    const auto transaction = json::parse(client->body(), nullptr, false);
    if (std::exchange(m_delays_next_write, false)) {
        m_late_write = transaction;
        client->abort();
        return;
    }
    std::string conflict;
    if (!apply(transaction, conflict)) {
        reply(*client, 412, conflict);
        return;
    }
    std::uniform_real_distribution<double> any(0, 1);
    if (m_fault == fault::loses_answers && any(m_random) < lost_share) {
        client->abort();
        return;
    }
    reply(*client, 200, json{{"schema_version", m_version}}.dump());
}

void soak_store::perform_late_write()
{
    std::string conflict;
    apply(m_late_write, conflict);
}

// Performs a transaction, or describes why its condition does not hold.
bool soak_store::apply(const json& transaction, std::string& conflict)
{
    const auto& condition = transaction["expect"][0];
    const auto table = condition["table"].get<std::string>();
    const auto key = condition["key"].get<std::string>();
    if (version_of(table, key) != condition["schema_version"].get<std::uint64_t>()) {
        json current{{"rows", json::array()}, {"schema_version", m_version}};
        if (const auto* const held = find({table, key})) {
            current["rows"].push_back(row_json(table, key, *held));
        }
        conflict = current.dump();
        return false;
    }
    const auto& written = transaction["upserts"][0];
    put(table, key, {written["part"].get<std::string>(), written["value"].get<std::string>()});
    return true;
}

void soak_store::put(const std::string& table, const std::string& key, row written)
{
    const auto held = m_rows.find({table, key});
    m_log.push_back({m_loop.time().steady_now(),
                     {table, key},
                     held == m_rows.end() ? std::nullopt : std::make_optional(held->second),
                     m_version});
    written.version = ++m_version;
    m_rows[{table, key}] = std::move(written);
    answer_feeds();
}

nlohmann::json soak_store::row_json(const std::string& table, const std::string& key,
                                    const row& from)
{
    json made{
        {"table", table}, {"part", from.part}, {"key", key}, {"schema_version", from.version}};
    if (from.is_removed) {
        made["removed"] = true;
    }
    else {
        made["value"] = from.value;
    }
    return made;
}

std::string soak_store::parts_of(const std::string& table) const
{
    std::set<std::string> parts;
    for (const auto& [name, each] : m_rows) {
        if (name.first == table && !each.is_removed) {
            parts.insert(each.part);
        }
    }
    return json{{"parts", parts}, {"schema_version", m_version}, {"has_more", false}}.dump();
}

void soak_store::answer_feeds()
{
    auto feeds = std::move(m_feeds);
    m_feeds.clear();
    for (auto& each : feeds) {
        bool is_empty = false;
        const auto body = rows_after(each.table, each.after, is_empty);
        if (is_empty || each.table == m_silent_table) {
            m_feeds.push_back(std::move(each));
            continue;
        }
        reply(*each.client, 200, body);
    }
}

std::string soak_store::rows_in(const std::string& table, const std::string& part) const
{
    json made{{"rows", json::array()}, {"schema_version", m_version}, {"has_more", false}};
    for (const auto& [name, each] : m_rows) {
        if (name.first == table && each.part == part && !each.is_removed) {
            made["rows"].push_back(row_json(table, name.second, each));
        }
    }
    return made.dump();
}

std::string soak_store::rows_after(const std::string& table, std::uint64_t after,
                                   bool& is_empty) const
{
    json made{{"rows", json::array()}, {"schema_version", m_version}, {"has_more", false}};
    for (const auto& [name, each] : m_rows) {
        if (name.first == table && each.version > after) {
            made["rows"].push_back(row_json(table, name.second, each));
        }
    }
    is_empty = made["rows"].empty();
    return made.dump();
}

} // namespace galenaroad
