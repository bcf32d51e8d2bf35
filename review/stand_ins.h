// Stand-ins for the scripts of this review: the platform's store, an upstream, a client, and the
// start and end of the project's program. POSIX sockets and threads only; loopback addresses only.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <tuple>
#include <vector>

namespace review {

using clock_type = std::chrono::steady_clock;
using ms = std::chrono::milliseconds;

inline clock_type::time_point& epoch()
{
    static clock_type::time_point value = clock_type::now();
    return value;
}

inline long now_ms()
{
    return std::chrono::duration_cast<ms>(clock_type::now() - epoch()).count();
}

inline long unix_ms()
{
    return std::chrono::duration_cast<ms>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline void sleep_ms(long time)
{
    if (time > 0) {
        std::this_thread::sleep_for(ms(time));
    }
}

/// record.txt: what was sent, answered and run.
class record_file {
public:
    static record_file& get()
    {
        static record_file value;
        return value;
    }

    void open(const std::string& path) { m_file = std::fopen(path.c_str(), "w"); }

    void line(const char* format, ...) __attribute__((format(printf, 2, 3)))
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        std::FILE* const targets[] = {m_file, stdout};
        for (auto* const target : targets) {
            if (target == nullptr) {
                continue;
            }
            std::fprintf(target, "%7.3f  ", static_cast<double>(now_ms()) / 1000);
            va_list arguments;
            va_start(arguments, format);
            std::vfprintf(target, format, arguments);
            va_end(arguments);
            std::fputc('\n', target);
            std::fflush(target);
        }
    }

private:
    std::mutex m_mutex;
    std::FILE* m_file = nullptr;
};

#define RECORD(...) ::review::record_file::get().line(__VA_ARGS__)

[[noreturn]] inline void cannot_run(const std::string& why);

struct endpoint {
    std::string ip;
    int port = 0;
    std::string text() const { return ip + ':' + std::to_string(port); }
};

inline endpoint parse_endpoint(const std::string& text)
{
    const auto colon = text.rfind(':');
    return {text.substr(0, colon), std::atoi(text.c_str() + colon + 1)};
}

inline sockaddr_in socket_address(const endpoint& at)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(at.port));
    inet_pton(AF_INET, at.ip.c_str(), &address.sin_addr);
    return address;
}

/// @return a free port of a loopback address.
inline endpoint free_endpoint(const std::string& ip)
{
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    auto address = socket_address({ip, 0});
    socklen_t size = sizeof(address);
    if (bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
        getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
        cannot_run("no free port at " + ip);
    }
    close(fd);
    return {ip, ntohs(address.sin_port)};
}

/// One HTTP/1.1 message.
struct message {
    std::string start; ///< Start line.
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    std::string field(const std::string& name) const
    {
        for (const auto& each : fields) {
            if (strcasecmp(each.first.c_str(), name.c_str()) == 0) {
                return each.second;
            }
        }
        return "";
    }

    std::string method() const { return start.substr(0, start.find(' ')); }

    std::string target() const
    {
        const auto first = start.find(' ');
        return start.substr(first + 1, start.rfind(' ') - first - 1);
    }

    int status() const { return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0; }
};

/// A connection with a buffer.
class connection {
public:
    explicit connection(int fd) : m_fd(fd) {}
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    ~connection() { finish(); }

    int fd() const { return m_fd; }

    void finish()
    {
        if (m_fd >= 0) {
            close(m_fd);
            m_fd = -1;
        }
    }

    /// Ends the connection with a reset.
    void reset()
    {
        const linger option{1, 0};
        setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
        finish();
    }

    bool send_all(const std::string& bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const auto count = ::send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    /// Reads one final message; interim responses are skipped. @return false at the end.
    bool read(message& result, long limit_ms = 0)
    {
        const long until = limit_ms > 0 ? now_ms() + limit_ms : 0;
        while (true) {
            std::size_t end = 0;
            while ((end = m_input.find("\r\n\r\n")) == std::string::npos) {
                if (!fill(until)) {
                    return false;
                }
            }
            result = parse_head(m_input.substr(0, end));
            m_input.erase(0, end + 4);
            if (result.start.rfind("HTTP/1.1 1", 0) != 0) {
                break;
            }
        }
        if (strcasecmp(result.field("Transfer-Encoding").c_str(), "chunked") == 0) {
            return read_chunks(result, until);
        }
        const auto length =
            static_cast<std::size_t>(std::atol(result.field("Content-Length").c_str()));
        while (m_input.size() < length) {
            if (!fill(until)) {
                return false;
            }
        }
        result.body = m_input.substr(0, length);
        m_input.erase(0, length);
        return true;
    }

    bool has_input() const { return !m_input.empty(); }

private:
    static message parse_head(const std::string& text)
    {
        message result;
        std::size_t at = 0;
        while (at <= text.size()) {
            auto end = text.find("\r\n", at);
            end = end == std::string::npos ? text.size() : end;
            const auto line = text.substr(at, end - at);
            at = end + 2;
            if (result.start.empty()) {
                result.start = line;
                continue;
            }
            const auto colon = line.find(':');
            if (colon == std::string::npos) {
                continue;
            }
            auto value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            result.fields.emplace_back(line.substr(0, colon), value);
        }
        return result;
    }

    bool read_chunks(message& result, long until)
    {
        while (true) {
            std::size_t end = 0;
            while ((end = m_input.find("\r\n")) == std::string::npos) {
                if (!fill(until)) {
                    return false;
                }
            }
            const auto size = std::strtoul(m_input.c_str(), nullptr, 16);
            m_input.erase(0, end + 2);
            while (m_input.size() < size + 2) {
                if (!fill(until)) {
                    return false;
                }
            }
            result.body += m_input.substr(0, size);
            m_input.erase(0, size + 2);
            if (size == 0) {
                return true;
            }
        }
    }

    bool fill(long until)
    {
        if (until > 0) {
            pollfd waits{m_fd, POLLIN, 0};
            const long left = until - now_ms();
            if (left <= 0 || poll(&waits, 1, static_cast<int>(left)) <= 0) {
                return false;
            }
        }
        char buffer[16384];
        const auto count = recv(m_fd, buffer, sizeof(buffer), 0);
        if (count <= 0) {
            return false;
        }
        m_input.append(buffer, static_cast<std::size_t>(count));
        return true;
    }

    int m_fd;
    std::string m_input;
};

inline int connect_to(const endpoint& at)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = socket_address(at);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
        close(fd);
        return -1;
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return fd;
}

/// Accepts connections and gives each a thread of its own.
class listener {
public:
    using handler = std::function<void(const std::shared_ptr<connection>&)>;

    void listen_at(const endpoint& at, handler on_connection)
    {
        m_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        const auto address = socket_address(at);
        if (bind(m_fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
            listen(m_fd, 128) != 0) {
            cannot_run("cannot listen at " + at.text());
        }
        std::thread([this, on_connection] {
            while (true) {
                const int fd = accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd < 0) {
                    return;
                }
                const int one = 1;
                setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
                const auto made = std::make_shared<connection>(fd);
                std::thread([made, on_connection] { on_connection(made); }).detach();
            }
        }).detach();
    }

private:
    int m_fd = -1;
};

inline std::string response_text(int status, const std::string& fields, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// @return the text value of a key in a flat piece of JSON, or an empty text.
inline std::string json_text(const std::string& json, const std::string& key, std::size_t from = 0)
{
    const auto at = json.find('"' + key + "\":", from);
    if (at == std::string::npos) {
        return "";
    }
    auto value = json.substr(at + key.size() + 3);
    value.erase(0, value.find_first_not_of(' '));
    if (!value.empty() && value.front() == '"') {
        return value.substr(1, value.find('"', 1) - 1);
    }
    return value.substr(0, value.find_first_of(",}]"));
}

inline std::string base64(const std::string& bytes)
{
    static const char* const digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        unsigned int group = 0;
        const auto count = std::min<std::size_t>(3, bytes.size() - at);
        for (std::size_t each = 0; each < 3; ++each) {
            group = group << 8 | (each < count ? static_cast<unsigned char>(bytes[at + each]) : 0);
        }
        for (std::size_t each = 0; each < 4; ++each) {
            text += each <= count ? digits[group >> (18 - 6 * each) & 63] : '=';
        }
    }
    return text;
}

/// The platform's store, as PROTOCOL.md describes the calls that the system makes here: rows-get,
/// rows-parts, rows-feed and rows-tx. It answers at once and loses nothing.
class store {
public:
    void start(const endpoint& at)
    {
        m_listener.listen_at(at, [this](const auto& made) { serve(*made); });
    }

    /// Writes a row as the operator does.
    void write(const std::string& table, const std::string& key, const std::string& value)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_rows[{table, "", key}] = {base64(value), ++m_version};
        m_changed.notify_all();
    }

private:
    struct name {
        std::string table, part, key;
        bool operator<(const name& other) const
        {
            return std::tie(table, part, key) < std::tie(other.table, other.part, other.key);
        }
    };
    struct row {
        std::string value;
        std::uint64_t version = 0;
    };

    void serve(connection& client)
    {
        message request;
        while (client.read(request)) {
            const auto response = answer(request);
            sleep_ms(answer_ms);
            if (!client.send_all(response)) {
                return;
            }
        }
    }

    /// "4 ms an answer" and, to a machine of another region, 12 ms one way (SYSTEM.md).
    static constexpr long answer_ms = 4 + 2 * 12;

    static std::string parameter(const std::string& target, const std::string& key)
    {
        const auto at = target.find(key + '=');
        if (at == std::string::npos) {
            return "";
        }
        const auto value = target.substr(at + key.size() + 1);
        return value.substr(0, value.find('&'));
    }

    static std::string row_json(const name& each, const row& held)
    {
        return "{\"table\":\"" + each.table + "\",\"part\":\"" + each.part + "\",\"key\":\"" +
               each.key + "\",\"value\":\"" + held.value +
               "\",\"schema_version\":" + std::to_string(held.version) + "}";
    }

    std::string rows_json(const std::string& rows) const
    {
        return "{\"rows\":[" + rows + "],\"schema_version\":" + std::to_string(m_version) +
               ",\"now_ms\":" + std::to_string(now_ms()) + ",\"has_more\":false}";
    }

    std::string answer(const message& request)
    {
        const auto target = request.target();
        const std::string json = "Content-Type: application/json\r\n";
        const auto table = parameter(target, "table");
        std::unique_lock<std::mutex> lock(m_mutex);
        if (target.rfind("/api/rows-parts", 0) == 0) {
            std::string parts;
            std::string last;
            for (const auto& each : m_rows) {
                if (each.first.table == table && (parts.empty() || each.first.part != last)) {
                    last = each.first.part;
                    parts += (parts.empty() ? "\"" : ",\"") + last + '"';
                }
            }
            return response_text(200, json, "{\"parts\":[" + parts + "],\"has_more\":false}");
        }
        if (target.rfind("/api/rows-get", 0) == 0) {
            const auto part = parameter(target, "part");
            std::string rows;
            for (const auto& each : m_rows) {
                if (each.first.table == table && each.first.part == part) {
                    rows += (rows.empty() ? "" : ",") + row_json(each.first, each.second);
                }
            }
            return response_text(200, json, rows_json(rows));
        }
        if (target.rfind("/api/rows-feed", 0) == 0) {
            const auto after = std::strtoull(parameter(target, "after").c_str(), nullptr, 10);
            const auto until =
                clock_type::now() + ms(std::atol(parameter(target, "wait_ms").c_str()));
            std::string rows;
            while (true) {
                std::map<std::uint64_t, std::string> changed;
                for (const auto& each : m_rows) {
                    if (each.first.table == table && each.second.version > after) {
                        changed[each.second.version] = row_json(each.first, each.second);
                    }
                }
                for (const auto& each : changed) {
                    rows += (rows.empty() ? "" : ",") + each.second;
                }
                if (!rows.empty() ||
                    m_changed.wait_until(lock, until) == std::cv_status::timeout) {
                    break;
                }
            }
            return response_text(200, json, rows_json(rows));
        }
        if (target.rfind("/api/rows-tx", 0) == 0) {
            return transact(request.body, json);
        }
        return response_text(404, "", "");
    }

    // The daemons write one row a call, on the condition of its version.
    std::string transact(const std::string& body, const std::string& json)
    {
        const auto upserts = body.find("\"upserts\":");
        const auto expect = body.find("\"expect\":");
        const name key{json_text(body, "table", upserts), json_text(body, "part", upserts),
                       json_text(body, "key", upserts)};
        const auto wanted =
            std::strtoull(json_text(body, "schema_version", expect).c_str(), nullptr, 10);
        const auto found = m_rows.find(key);
        const auto held = found == m_rows.end() ? 0 : found->second.version;
        if (held != wanted) {
            return response_text(412, json,
                                 rows_json(held == 0 ? "" : row_json(key, found->second)));
        }
        m_rows[key] = {json_text(body, "value", upserts), ++m_version};
        m_changed.notify_all();
        return response_text(200, json, "{\"schema_version\":" + std::to_string(m_version) + "}");
    }

    listener m_listener;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<name, row> m_rows;
    std::uint64_t m_version = 0;
};

/// One machine: its addresses, the program beside its upstream, and the settings of the program.
struct machine {
    std::string name;
    std::string zone;
    std::string service;
    std::string ip;
    endpoint inbound, outbound, ready, control, app;
    pid_t process = -1;

    /// @return the ports of a small machine on a loopback address of its own.
    static machine make(const std::string& name, const std::string& zone,
                        const std::string& service, const std::string& ip)
    {
        machine made{name, zone, service, ip, {}, {}, {}, {}, {}, -1};
        for (auto* const each :
             {&made.inbound, &made.outbound, &made.ready, &made.control, &made.app}) {
            *each = free_endpoint(ip);
        }
        return made;
    }
};

inline std::vector<pid_t>& started()
{
    static std::vector<pid_t> value;
    return value;
}

inline void end_all()
{
    for (const auto each : started()) {
        if (waitpid(each, nullptr, WNOHANG) == 0) {
            kill(each, SIGCONT);
            kill(each, SIGKILL);
            waitpid(each, nullptr, 0);
        }
    }
    started().clear();
}

[[noreturn]] inline void leave(int code)
{
    end_all();
    std::fflush(nullptr);
    std::_Exit(code);
}

inline void cannot_run(const std::string& why)
{
    RECORD("cannot run: %s", why.c_str());
    leave(2);
}

/// Settings and programs of one deployment, with the bounds of the site tvw-mesh.
class deployment {
public:
    deployment()
    {
        const char* const root = std::getenv("REVIEW_ROOT");
        const char* const folder = std::getenv("REVIEW_TEMP");
        if (root == nullptr || folder == nullptr) {
            cannot_run("REVIEW_ROOT or REVIEW_TEMP is not set");
        }
        m_root = root;
        m_folder = folder;
        std::signal(SIGPIPE, SIG_IGN);
        // The review's addresses: 127.B.C.1 and up, with B and C from the process id.
        const auto id = static_cast<unsigned int>(getpid());
        m_net = "127." + std::to_string(64 + id % 128) + '.' + std::to_string(id / 128 % 250) + '.';
        store_at = free_endpoint(m_net + "200");
        platform.start(store_at);
    }

    machine add(const std::string& name, const std::string& zone, const std::string& service)
    {
        return machine::make(name, zone, service, m_net + std::to_string(++m_machines));
    }

    void start(machine& at, bool is_first_start)
    {
        const auto path = m_folder + '/' + at.name + ".yaml";
        write_settings(at, path, is_first_start);
        const auto log = m_folder + '/' + at.name + ".log";
        const pid_t process = fork();
        if (process == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL); // It never outlives the script.
            if (chdir(m_root.c_str()) != 0) {
                std::_Exit(126);
            }
            const int file = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(file, 1);
            dup2(file, 2);
            setenv("GALENAROAD_NODE_FILE", path.c_str(), 1);
            execl("target/bin/galenaroad_platform", "target/bin/galenaroad_platform", nullptr);
            std::_Exit(127);
        }
        at.process = process;
        started().push_back(process);
        RECORD("started the daemon of %s (service %s, zone %s)", at.name.c_str(),
               at.service.c_str(), at.zone.c_str());
    }

    static bool is_ready(const machine& at)
    {
        const int fd = connect_to(at.ready);
        if (fd < 0) {
            return false;
        }
        connection asks(fd);
        message response;
        return asks.send_all("GET /api/ready HTTP/1.1\r\nHost: " + at.ready.text() + "\r\n\r\n") &&
               asks.read(response, 1000) && response.status() == 200;
    }

    static void await_ready(const std::vector<machine*>& machines)
    {
        const long until = now_ms() + 15000;
        for (const auto* const each : machines) {
            while (!is_ready(*each)) {
                if (now_ms() > until) {
                    cannot_run(each->name + " is not ready");
                }
                sleep_ms(50);
            }
        }
        RECORD("all daemons are ready");
    }

    store platform;
    endpoint store_at;

private:
    void write_settings(const machine& at, const std::string& path, bool is_first_start) const
    {
        std::ofstream file(path);
        const auto quoted = [](const endpoint& each) { return '"' + each.text() + '"'; };
        file << "self:\n  node_name: \"" << at.name << "\"\n  role: \"relay\"\n"
             << "  machine_class: \"sidecar\"\n  serves:\n    - \"sidecar\"\n  ip: \"" << at.ip
             << "\"\n  zone: \"" << at.zone << "\"\n  region: \"ash\"\n"
             << "  tolerance_member: false\n  bootstrap: " << (is_first_start ? "true" : "false")
             << "\n  data_dir: null\n  limits:\n    cpu_share: 0.2\n    cpu_cores: 1\n"
             << "    memory_mb: 260\n    max_fds: 4100\n    link_mbps: 1000.0\n    disk_mb: 0\n"
             << "  app_addr: " << quoted(at.app) << "\n  service: \"" << at.service << "\"\n"
             << "network:\n  listen:\n    inbound: " << quoted(at.inbound)
             << "\n    outbound: " << quoted(at.outbound) << "\n    ready: " << quoted(at.ready)
             << "\n    control: " << quoted(at.control) << "\n  port_range:\n    - 7620\n"
             << "    - 7635\n  seeds: []\n  zones:\n    ash-a: \"ash\"\n    ash-b: \"ash\"\n"
             << "platform:\n  discovery: \"local\"\n  entry: \"local\"\n  heartbeat_ms: 1500\n"
             << "  platform:\n    address: " << quoted(store_at) << "\n    form: \"table\"\n"
             << "    writes_per_s: 400\n    reads_per_s: 2000\n    tx_ms: 5.0\n"
             << "    partition_writes_s: 200\n    row_bytes: 65536\n    across: false\n"
             << "    history_s: 20\n"
             << "terms:\n  contracts: [\"base\", \"drain\", \"config\", \"cost\", \"retry\", "
             << "\"recover\", \"health\", \"platform\"]\n"
             << "  fault_tolerance: {machines: 2, zones: 0, regions: 0}\n  bounds:\n"
             << "    seed_lag_s: 3\n    reuse_after_s: 2\n    contact_ms: 3000\n"
             << "    ack_ms: 4000\n    catch_up_s: 4\n    drain_ms: 2000\n"
             << "    grace_period_s: 6\n    loss_slack_ms: 200\n    config_apply_ms: 2000\n"
             << "    rollback_slack_ms: 250\n    max_stretch_ms: 5000\n"
             << "    retry_budget_ratio: 0.2\n    budget_window_s: 10\n    budget_extra: 58\n"
             << "    recovery_s: 15\n    probes_per_s: 3\n    floor_share: 0.7\n";
    }

    std::string m_root;
    std::string m_folder;
    std::string m_net;
    int m_machines = 0;
};

/// A sound upstream beside a daemon: sends heartbeats, checks X-Expect-Instance, and runs requests
/// with a handler of the case.
class upstream {
public:
    /// What an upstream does with a request that it runs.
    struct action {
        long work_ms = 0;
        bool loses_answer = false; ///< Runs it, then resets the connection in place of the answer.
        /// Called in place of the run, for a faulty answer; the connection ends after it.
        std::function<void(connection&, const std::string& id)> spoils = nullptr;
    };
    /// One arrival.
    struct arrival {
        std::string id;
        long at_ms = 0;
        bool on_used_connection = false;
    };
    using decision = std::function<action(const message& request, int arrival_of_id)>;

    void start(const machine& at, const std::string& id, int slots, decision decide)
    {
        m_decide = std::move(decide);
        start_heartbeats(at, id, slots);
        m_listener.listen_at(at.app, [this](const auto& made) { serve(*made); });
    }

    /// Only sends heartbeats; the case serves the requests itself.
    void start_heartbeats(const machine& at, const std::string& id, int slots)
    {
        m_at = at;
        m_id = id;
        m_slots = slots;
        m_born = unix_ms();
        std::thread([this] {
            while (true) {
                if (!m_stops_heartbeats) {
                    send_heartbeat();
                }
                std::unique_lock<std::mutex> lock(m_mutex);
                m_wake.wait_for(lock, ms(1500));
            }
        }).detach();
    }

    /// Reports `draining` until it is acknowledged. @return the time of the acknowledgement.
    long drain()
    {
        m_is_draining = true;
        while (true) {
            const long sent = now_ms();
            if (send_heartbeat()) {
                RECORD("%s: `draining` acknowledged, %ld ms after it was sent", m_id.c_str(),
                       now_ms() - sent);
                return now_ms();
            }
            if (now_ms() - sent > 5000) {
                cannot_run("`draining` is not acknowledged");
            }
            sleep_ms(200);
        }
    }

    /// Sends DELETE without having reported `draining`, and no heartbeat any more. The upstream
    /// goes on serving. @return the time of the acknowledgement.
    long leave_at_once()
    {
        m_stops_heartbeats = true;
        const std::lock_guard<std::mutex> one_at_a_time(m_heartbeat_mutex);
        const long sent = now_ms();
        const int fd = connect_to(m_at.control);
        if (fd < 0) {
            cannot_run("no connection for DELETE");
        }
        connection call(fd);
        message response;
        if (!call.send_all("DELETE /api/instances/" + m_id + " HTTP/1.1\r\nHost: " +
                           m_at.control.text() + "\r\n\r\n") ||
            !call.read(response, 1000) || response.status() / 100 != 2) {
            cannot_run("DELETE is not acknowledged");
        }
        RECORD("%s: DELETE acknowledged, %ld ms after it was sent", m_id.c_str(),
               now_ms() - sent);
        return now_ms();
    }

    /// @return a heartbeat as it would be sent now; it takes the next sequence number.
    std::string prepare_heartbeat()
    {
        const std::lock_guard<std::mutex> one_at_a_time(m_heartbeat_mutex);
        return heartbeat_text();
    }

    /// Delivers a prepared heartbeat a little after the daemon accepts connections again.
    /// @return false after limit_ms.
    bool deliver_late(const std::string& text, long limit_ms) const
    {
        const long until = now_ms() + limit_ms;
        while (now_ms() < until) {
            const int fd = connect_to(m_at.control);
            if (fd >= 0) {
                connection call(fd);
                message response;
                sleep_ms(5);
                const bool is_read = call.send_all(text) && call.read(response, 1000);
                RECORD("%s: the late heartbeat (`ready`, sent before DELETE) is answered %d",
                       m_id.c_str(), is_read ? response.status() : 0);
                return is_read;
            }
            std::this_thread::sleep_for(std::chrono::microseconds(300));
        }
        return false;
    }

    std::vector<arrival> arrivals(const std::string& id = "")
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        std::vector<arrival> found;
        for (const auto& each : m_arrivals) {
            if (id.empty() || each.id == id) {
                found.push_back(each);
            }
        }
        return found;
    }

    /// @return how many requests were answered soundly from one moment to another.
    int answered(long from_ms, long to_ms)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        int count = 0;
        for (const auto each : m_answered_at) {
            count += each >= from_ms && each <= to_ms ? 1 : 0;
        }
        return count;
    }

    /// @return when the run of a request ended, or -1.
    long run_ended(const std::string& id)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const auto found = m_ended.find(id);
        return found == m_ended.end() ? -1 : found->second;
    }

private:
    bool send_heartbeat()
    {
        const std::lock_guard<std::mutex> one_at_a_time(m_heartbeat_mutex);
        const int fd = connect_to(m_at.control);
        if (fd < 0) {
            return false;
        }
        connection call(fd);
        message response;
        return call.send_all(heartbeat_text()) &&
               call.read(response, 1000) && response.status() / 100 == 2;
    }

    std::string heartbeat_text()
    {
        const std::string body =
            "{\"address\":\"" + m_at.app.text() + "\",\"born\":" + std::to_string(m_born) +
            ",\"info\":{\"service\":\"" + m_at.service + "\",\"version\":\"v1\",\"zone\":\"" +
            m_at.zone + "\",\"slots\":" + std::to_string(m_slots) + "},\"status\":{\"state\":\"" +
            (m_is_draining ? "draining" : "ready") + "\",\"sequence\":" + std::to_string(++m_sequence) + ",\"cold_left_ms\":0}}";
        return "PUT /api/instances/" + m_id + " HTTP/1.1\r\nHost: " + m_at.control.text() +
               "\r\nContent-Type: application/json\r\nContent-Length: " +
               std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    void serve(connection& client)
    {
        message request;
        bool is_used = false;
        while (client.read(request)) {
            const bool was_used = is_used;
            is_used = true;
            if (request.target() == "/health") {
                client.send_all(response_text(m_is_draining ? 503 : 200,
                                              "X-Instance-Id: " + m_id + "\r\n", ""));
                continue;
            }
            const auto id = request.field("X-Request-Id");
            const std::string fields = "X-Request-Id: " + id + "\r\n";
            if (!request.field("X-Expect-Instance").empty() &&
                request.field("X-Expect-Instance") != m_id) {
                RECORD("%s: %s expects %s, refused with 421", m_id.c_str(), id.c_str(),
                       request.field("X-Expect-Instance").c_str());
                client.send_all(response_text(421, fields + "X-Instance-Id: " + m_id + "\r\n", ""));
                continue;
            }
            int count = 0;
            {
                const std::lock_guard<std::mutex> lock(m_mutex);
                m_arrivals.push_back({id, now_ms(), was_used});
                for (const auto& each : m_arrivals) {
                    count += each.id == id ? 1 : 0;
                }
            }
            // For the case only: whether the connection had been used before.
            request.fields.emplace_back("(connection)", was_used ? "kept" : "new");
            const auto todo = m_decide(request, count);
            RECORD("%s: runs %s (%s %s, arrival %d, %s connection, X-Deadline-Ms %s, work %ld ms)",
                   m_id.c_str(), id.c_str(), request.method().c_str(), request.target().c_str(),
                   count, was_used ? "kept" : "new", request.field("X-Deadline-Ms").c_str(),
                   todo.work_ms);
            if (todo.spoils) {
                todo.spoils(client, id);
                return;
            }
            // "An upstream stops work at the value that it receives."
            const auto limit = request.field("X-Deadline-Ms");
            const bool is_late = !limit.empty() && std::atol(limit.c_str()) < todo.work_ms;
            if (!work(client, is_late ? std::atol(limit.c_str()) : todo.work_ms)) {
                RECORD("%s: the connection of %s has ended, the request is dropped", m_id.c_str(),
                       id.c_str());
                return;
            }
            {
                const std::lock_guard<std::mutex> lock(m_mutex);
                m_ended[id] = now_ms();
            }
            if (is_late) {
                RECORD("%s: %s is not ready at its deadline, answers 504", m_id.c_str(), id.c_str());
                client.send_all(response_text(
                    504, fields + "X-Response-Stamp: stamp." + m_id + '.' + id + "\r\n", ""));
                continue;
            }
            if (todo.loses_answer) {
                RECORD("%s: %s has run, its answer is lost (the connection is reset)",
                       m_id.c_str(), id.c_str());
                client.reset();
                return;
            }
            RECORD("%s: %s has run, answers 200", m_id.c_str(), id.c_str());
            {
                const std::lock_guard<std::mutex> lock(m_mutex);
                m_answered_at.push_back(now_ms());
            }
            if (!client.send_all(response_text(
                    200, fields + "X-Response-Stamp: stamp." + m_id + '.' + id + "\r\n",
                    "done " + id))) {
                return;
            }
        }
    }

    // Like most upstreams, drops a request when its connection closes.
    static bool work(connection& client, long time)
    {
        const long until = now_ms() + time;
        while (now_ms() < until) {
            pollfd waits{client.fd(), POLLIN | POLLRDHUP, 0};
            const auto left = until - now_ms();
            if (poll(&waits, 1, static_cast<int>(left > 0 ? left : 0)) > 0 &&
                (waits.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0) {
                return false;
            }
        }
        return true;
    }

    machine m_at;
    std::string m_id;
    int m_slots = 1;
    decision m_decide;
    long m_born = 0;
    std::atomic<bool> m_is_draining{false};
    std::atomic<bool> m_stops_heartbeats{false};
    int m_sequence = 0;
    listener m_listener;
    std::mutex m_mutex;
    std::mutex m_heartbeat_mutex;
    std::condition_variable m_wake;
    std::vector<arrival> m_arrivals;
    std::map<std::string, long> m_ended;
    std::vector<long> m_answered_at;
};

/// Answer as a client sees it.
struct client_answer {
    int status = 0; ///< 0: the connection ended without a complete answer.
    std::string stamp;
    std::string body;
    long at_ms = 0;
};

/// Sends one request from a machine to the daemon of the same machine on a new connection.
inline client_answer request_from(const machine& at, const std::string& method,
                                  const std::string& target, const std::string& id,
                                  long deadline_ms, const std::string& body = "")
{
    client_answer result;
    RECORD("client at %s: sends %s (%s %s, X-Deadline-Ms %ld)", at.name.c_str(), id.c_str(),
           method.c_str(), target.c_str(), deadline_ms);
    const int fd = connect_to(at.outbound);
    if (fd < 0) {
        result.at_ms = now_ms();
        RECORD("client at %s: %s gets no connection", at.name.c_str(), id.c_str());
        return result;
    }
    connection call(fd);
    std::string text = method + ' ' + target + " HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " +
                       id + "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n";
    if (method == "POST") {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    message response;
    if (call.send_all(text + "\r\n" + body) && call.read(response, deadline_ms + 1000)) {
        result.status = response.status();
        result.stamp = response.field("X-Response-Stamp");
        result.body = response.body;
    }
    result.at_ms = now_ms();
    RECORD("client at %s: %s gets %d, stamp %s", at.name.c_str(), id.c_str(), result.status,
           result.stamp.empty() ? "none" : result.stamp.c_str());
    return result;
}

/// Usual requests, one each interval_ms from each machine, until it is stopped.
class usual_traffic {
public:
    struct kind {
        std::string method;
        std::string target;
    };

    /// @param kinds sent in turn.
    void start(const std::vector<const machine*>& machines, const std::vector<kind>& kinds,
               long deadline_ms)
    {
        for (const auto* const at : machines) {
            m_threads.emplace_back([this, at, kinds, deadline_ms] {
                std::vector<std::thread> requests;
                const long first = now_ms();
                for (std::size_t count = 0; m_goes_on; ++count) {
                    const auto each = kinds[count % kinds.size()];
                    requests.emplace_back([at, each, count, deadline_ms] {
                        request_from(*at, each.method, each.target,
                                     "usual-" + at->name + '-' + std::to_string(count), deadline_ms,
                                     each.method == "POST" ? "order" : "");
                    });
                    sleep_ms(first + static_cast<long>(count + 1) * interval_ms - now_ms());
                }
                for (auto& each : requests) {
                    each.join();
                }
            });
            sleep_ms(interval_ms / static_cast<long>(machines.size()));
        }
    }

    void stop()
    {
        m_goes_on = false;
        for (auto& each : m_threads) {
            each.join();
        }
    }

    /// 2.2 requests a second: on the site's day scale-1, a machine of nor-a gets 2.4 (19.1 for 8).
    static constexpr long interval_ms = 450;

private:
    std::atomic<bool> m_goes_on{true};
    std::vector<std::thread> m_threads;
};

/// @return true unless the script was started with TROUBLE=0.
inline bool has_trouble()
{
    const char* const value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

} // namespace review
