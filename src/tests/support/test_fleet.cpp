#include "tests/support/test_fleet.h"

#include <Poco/Exception.h>
#include <Poco/File.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/StreamCopier.h>
#include <csignal>
#include <fstream>
#include <stdexcept>
#include <thread>

namespace galenaroad {

using namespace std::chrono_literals;

test_process::test_process(const std::string& program, const std::vector<std::string>& arguments)
    : m_handle(Poco::Process::launch(std::string(GALENAROAD_BIN_FOLDER) + "/" + program, arguments))
{
}

test_process::~test_process()
{
    if (!exit_code()) {
        ::kill(m_handle.id(), SIGCONT);
        ::kill(m_handle.id(), SIGKILL);
        wait();
    }
}

void test_process::terminate() const
{
    signal(SIGTERM);
}

void test_process::signal(int number) const
{
    ::kill(m_handle.id(), number);
}

int test_process::wait()
{
    if (!m_exit_code) {
        m_exit_code = m_handle.wait();
    }
    return *m_exit_code;
}

std::optional<int> test_process::exit_code()
{
    const int code = m_exit_code ? *m_exit_code : m_handle.tryWait();
    if (code >= 0) {
        m_exit_code = code;
    }
    return m_exit_code;
}

long test_process::resident_kib() const
{
    std::ifstream status("/proc/" + std::to_string(m_handle.id()) + "/status");
    std::string word;
    while (status >> word) {
        if (word == "VmRSS:") {
            long kib = 0;
            status >> kib;
            return kib;
        }
    }
    return 0;
}

test_fleet::test_fleet(const std::string& contract)
{
    Poco::File(m_folder.path()).createDirectories();
    Poco::File(path("contracts")).createDirectories();
    std::ofstream(path("contracts/tetteh.yaml")) << contract;
}

void test_fleet::start_stores()
{
    for (const auto& [name, program] : {std::pair("table", "standin_table_service"),
                                        std::pair("objects", "standin_object_store")}) {
        const std::vector<std::string> arguments{"--addresses-file",
                                                 path(name + std::string(".json"))};
        m_processes[name] = std::make_unique<test_process>(program, arguments);
        m_addresses[name] = wait_for_file(arguments.back());
    }
    m_table = address("table", "address");
    m_objects = address("objects", "address");
}

int test_fleet::apply(const std::string& contract, const std::string& instance) const
{
    std::ofstream(path("next.yaml")) << contract;
    const std::vector<std::string> arguments{
        "--table", m_table,          "--objects", m_objects, "--admin", address(instance, "admin"),
        "apply",   path("next.yaml")};
    return test_process("galenaroadctl", arguments).wait();
}

void test_fleet::start_daemon(const std::string& name, const std::string& region)
{
    std::ofstream settings(path(name + ".yaml"));
    settings << "instance: " << name << "\nregion: " << region << "\ndata_centre: " << region
             << "-1\n"
             << "addresses: {entry: '127.0.0.1:0', peer: '127.0.0.1:0', admin: '127.0.0.1:0'}\n"
             << "platform: {table_service: '" << m_table << "', object_store: '" << m_objects
             << "'}\n"
             << "telemetry: {spans_file: '" << spans_file(name) << "', log_level: warning}\n"
             << "contracts_folder: " << path("contracts") << '\n';
    if (!m_first_peer.empty()) {
        settings << "join_ranges: ['" << m_first_peer << "']\n";
    }
    settings.close();
    const auto addresses = path(name + ".json");
    m_processes[name] = std::make_unique<test_process>(
        "galenaroadd", std::vector<std::string>{"--settings", path(name + ".yaml"),
                                                "--addresses-file", addresses});
    m_addresses[name] = wait_for_file(addresses);
    if (m_first_peer.empty()) {
        m_first_peer = address(name, "peer");
    }
    const bool is_ready = wait_until([&] {
        return send_to(address(name, "admin"), {"GET", "/ready"}).status == 200;
    });
    if (!is_ready) {
        throw std::runtime_error(name + " did not become ready");
    }
}

void test_fleet::start_backend(const std::string& name, const std::string& service,
                               const std::string& instance, const std::vector<std::string>& more)
{
    const auto addresses = path(name + ".json");
    std::vector<std::string> arguments{"--name",           name,
                                       "--business",       "tetteh",
                                       "--service",        service,
                                       "--admin",          address(instance, "admin"),
                                       "--entry",          address(instance, "entry"),
                                       "--host",           "tetteh.example",
                                       "--addresses-file", addresses};
    arguments.insert(arguments.end(), more.begin(), more.end());
    m_processes[name] = std::make_unique<test_process>("standin_backend_server", arguments);
    m_addresses[name] = wait_for_file(addresses);
}

std::string test_fleet::address(const std::string& name, const std::string& role) const
{
    return m_addresses.at(name).at(role);
}

std::string test_fleet::spans_file(const std::string& instance) const
{
    return path(instance + ".spans");
}

test_answer test_fleet::send(const std::string& instance, const test_request& request) const
{
    return send_to(address(instance, "entry"), request);
}

test_answer test_fleet::send_to(const std::string& address, const test_request& request)
{
    test_answer answer;
    try {
        Poco::Net::HTTPClientSession session{Poco::Net::SocketAddress(address)};
        session.setTimeout(Poco::Timespan(request.timeout.count(), 0));
        Poco::Net::HTTPRequest sent(request.method, request.target, "HTTP/1.1");
        sent.setHost("tetteh.example");
        for (const auto& [name, value] : request.headers) {
            sent.set(name, value);
        }
        if (!request.body.empty()) {
            sent.setContentLength64(static_cast<Poco::Int64>(request.body.size()));
        }
        session.sendRequest(sent) << request.body;
        Poco::Net::HTTPResponse received;
        auto& stream = session.receiveResponse(received);
        Poco::StreamCopier::copyToString(stream, answer.body);
        answer.headers.insert(received.begin(), received.end());
        const bool has_length = received.hasContentLength() && request.method != "HEAD";
        const bool is_whole = !has_length || received.getContentLength64() ==
                                                 static_cast<Poco::Int64>(answer.body.size());
        answer.status = is_whole ? received.getStatus() : 0;
    }
    catch (const Poco::Exception&) {
        answer.status = 0;
    }
    return answer;
}

std::string test_fleet::send_raw(const std::string& address, const std::string& bytes)
{
    Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(address)};
    socket.setReceiveTimeout(Poco::Timespan(2, 0));
    socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    std::string received;
    std::vector<char> buffer(4096);
    try {
        for (int size = 1; size > 0;) {
            size = socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
            received.append(buffer.data(), static_cast<std::size_t>(std::max(size, 0)));
        }
    }
    catch (const Poco::Exception&) {
        return received;
    }
    return received;
}

bool test_fleet::wait_until(const std::function<bool()>& condition,
                            std::chrono::milliseconds timeout)
{
    const auto end = std::chrono::steady_clock::now() + timeout;
    while (std::chrono::steady_clock::now() < end) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(20ms);
    }
    return false;
}

nlohmann::json test_fleet::wait_for_file(const std::string& file) const
{
    if (!wait_until([&] { return Poco::File(file).exists(); })) {
        throw std::runtime_error("no addresses in " + file);
    }
    std::ifstream stream(file);
    return nlohmann::json::parse(stream);
}

std::string test_fleet::path(const std::string& name) const
{
    return m_folder.path() + "/" + name;
}

} // namespace galenaroad
