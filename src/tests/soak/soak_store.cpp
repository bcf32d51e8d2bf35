#include "soak/soak_store.h"

#include "store_rows.h"
#include "wire_names.h"

#include <Poco/URI.h>
#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace galenaroad {

namespace {

using namespace std::chrono_literals;
using json = nlohmann::json;

constexpr auto slow_time = 800ms;
constexpr double lost_share = 0.3;

void reply(server_exchange& client, int status, const std::string& body)
{
    http_response_head head;
    head.status = status;
    client.respond(std::move(head), body);
}

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
    const auto transaction = json::parse(client->body(), nullptr, false);
    const auto& condition = transaction["expect"][0];
    const auto table = condition["table"].get<std::string>();
    const auto key = condition["key"].get<std::string>();
    const auto held = m_rows.find({table, key});
    const auto version = held == m_rows.end() ? 0 : held->second.version;
    if (version != condition["schema_version"].get<std::uint64_t>()) {
        json current{{"rows", json::array()}, {"schema_version", m_version}};
        if (held != m_rows.end()) {
            current["rows"].push_back(row_json(table, key, held->second));
        }
        reply(*client, 412, current.dump());
        return;
    }
    const auto& written = transaction["upserts"][0];
    put(table, key, {written["part"].get<std::string>(), written["value"].get<std::string>()});
    std::uniform_real_distribution<double> any(0, 1);
    if (m_fault == fault::loses_answers && any(m_random) < lost_share) {
        client->abort();
        return;
    }
    reply(*client, 200, json{{"schema_version", m_version}}.dump());
}

void soak_store::put(const std::string& table, const std::string& key, row written)
{
    written.version = ++m_version;
    m_rows[{table, key}] = std::move(written);
    answer_feeds();
}

nlohmann::json soak_store::row_json(const std::string& table, const std::string& key,
                                    const row& from)
{
    return {{"table", table},
            {"part", from.part},
            {"key", key},
            {"value", from.value},
            {"schema_version", from.version}};
}

std::string soak_store::parts_of(const std::string& table) const
{
    std::set<std::string> parts;
    for (const auto& [name, each] : m_rows) {
        if (name.first == table) {
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
        if (name.first == table && each.part == part) {
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
