#pragma once

#include <Poco/Net/HTTPResponse.h>
#include <Poco/Process.h>
#include <Poco/TemporaryFile.h>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace galenaroad {

/// Response to a request of a test.
struct test_answer {
    int status = 0; ///< 0 when the connection ended without a complete response.
    std::map<std::string, std::string> headers;
    std::string body;

    nlohmann::json json() const { return nlohmann::json::parse(body, nullptr, false); }
};

/// Request of a test.
struct test_request {
    std::string method = "GET";
    std::string target = "/";
    std::string body{};
    std::map<std::string, std::string> headers{};
    std::chrono::seconds timeout{20}; ///< How long the caller waits for bytes.
};

/// A program that a test started; killed at the end of the test.
class test_process {
public:
    /// @param program the name of the program.
    /// @param arguments its arguments.
    test_process(const std::string& program, const std::vector<std::string>& arguments);
    test_process(const test_process&) = delete;
    test_process& operator=(const test_process&) = delete;
    test_process(test_process&&) = delete;
    test_process& operator=(test_process&&) = delete;
    ~test_process();

    /// Asks the program to end.
    void terminate() const;
    /// @return its exit code, once it has ended.
    int wait();
    /// @return its exit code if it has ended, without waiting for that.
    std::optional<int> exit_code();
    /// @return its resident memory in KiB.
    long resident_kib() const;
    /// Sends a signal.
    void signal(int number) const;

private:
    Poco::ProcessHandle m_handle;
    std::optional<int> m_exit_code;
};

/// Daemons and backend servers in separate processes on loopback.
class test_fleet {
public:
    /// @param contract the declaration of business `tetteh` as YAML.
    explicit test_fleet(const std::string& contract);

    /// Starts the table service `table` and the object store `objects` for all later daemons.
    void start_stores();

    /// Changes the contract through the table service.
    /// @param contract the declaration as YAML.
    /// @param instance the daemon that is told.
    /// @return the exit code of galenaroadctl.
    int apply(const std::string& contract, const std::string& instance) const;

    /// Starts a daemon; all later ones join the first.
    /// @param name the instance's name.
    /// @param region its region.
    void start_daemon(const std::string& name, const std::string& region = "ash");

    /// Starts a stand-in backend server beside a daemon.
    /// @param name its name.
    /// @param service the service that it serves.
    /// @param instance the instance whose daemon it announces itself to.
    /// @param more further arguments.
    void start_backend(const std::string& name, const std::string& service,
                       const std::string& instance, const std::vector<std::string>& more = {});

    /// @param name a daemon's or backend server's name.
    test_process& process(const std::string& name) { return *m_processes.at(name); }
    /// @param name a daemon's or backend server's name.
    /// @param role `entry`, `peer` or `admin` of a daemon, `address` of a backend server.
    std::string address(const std::string& name, const std::string& role) const;
    /// @param instance a daemon's name.
    /// @return the path of its spans.
    std::string spans_file(const std::string& instance) const;

    /// Sends a request to a daemon's entry.
    test_answer send(const std::string& instance, const test_request& request) const;

    /// Sends a request to an address.
    static test_answer send_to(const std::string& address, const test_request& request);
    /// Sends raw bytes and reads until the connection ends or two seconds pass.
    static std::string send_raw(const std::string& address, const std::string& bytes);
    /// Waits until a condition holds.
    static bool wait_until(const std::function<bool()>& condition,
                           std::chrono::milliseconds timeout = std::chrono::seconds(10));

private:
    nlohmann::json wait_for_file(const std::string& path) const;
    std::string path(const std::string& name) const;

    Poco::TemporaryFile m_folder;
    std::string m_first_peer;
    std::string m_table = "127.0.0.1:9";   ///< Nothing listens there.
    std::string m_objects = "127.0.0.1:9"; ///< Nothing listens there.
    std::map<std::string, nlohmann::json> m_addresses;
    std::map<std::string, std::unique_ptr<test_process>> m_processes;
};

} // namespace galenaroad
