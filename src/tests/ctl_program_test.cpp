#include "ctl/ctl_program.h"
#include "platform/memory_object_store.h"
#include "platform/memory_table_service.h"
#include "standins/standin_object_store_handler.h"
#include "standins/standin_store_server.h"
#include "standins/standin_table_service_handler.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>
#include <unistd.h>

using namespace galenaroad;

namespace {

/// Both platform stores on loopback, and a folder for input files.
class ctl_fixture {
public:
    ctl_report run(std::vector<const char*> words) const
    {
        const auto table = "--table=" + m_table_server.address();
        const auto objects = "--objects=" + m_object_server.address();
        words.insert(words.begin(), "galenaroadctl");
        // Nothing listens on port 1, so no daemon is notified.
        words.insert(words.end(), {table.c_str(), objects.c_str(), "--admin=127.0.0.1:1"});
        return ctl_program().run(ctl_options::parse(static_cast<int>(words.size()), words.data()));
    }

    void write(const std::string& path, const std::string& text) const
    {
        std::ofstream(path) << text;
    }

    standin_store_faults& faults() { return m_faults; }

    /// Loses the responses of all writes; reads are answered.
    void lose_write_responses() { m_loses_writes = true; }

private:
    store_faults hooks()
    {
        auto made = m_faults.hooks();
        made.lose_response = [this](const store_call& call) {
            return m_loses_writes && is_write(call.operation);
        };
        return made;
    }

    std::atomic<bool> m_loses_writes{false};
    standin_store_faults m_faults;
    memory_table_service m_table{hooks()};
    memory_object_store m_objects;
    standin_table_service_handler m_table_handler{m_table};
    standin_object_store_handler m_object_handler{m_objects};
    standin_store_server m_table_server{
        "127.0.0.1:0", m_faults, [this](auto& in, auto& out) { m_table_handler.handle(in, out); }};
    standin_store_server m_object_server{
        "127.0.0.1:0", m_faults, [this](auto& in, auto& out) { m_object_handler.handle(in, out); }};
};

std::string file_name(const std::string& suffix)
{
    return "/tmp/gr_ctl_" + std::to_string(::getpid()) + suffix;
}

const std::string declaration = "business: tetteh\nservices: [{name: orders, floor_slots: 8}]\n"
                                "routes: [{prefix: /orders, service: orders}]\n";
const std::string sheet_rows = "date;business;service;floor_slots;policy;max_timeout_s\n"
                               "2026-12-04;tetteh;orders;5;fast;1,5\n";

} // namespace

TEST_CASE_METHOD(ctl_fixture, "ctl_program: applies declarations and sheets", "[ctl]")
{
    // Guards against a sheet that is half applied, applied twice, or undone by a declaration.
    const auto contract_file = file_name(".yaml");
    const auto sheet_file = file_name(".csv");
    write(contract_file, declaration);
    write(sheet_file, sheet_rows);
    CHECK(run({"apply", sheet_file.c_str()}).kind == error_kind::sheet_invalid);
    write(sheet_file, sheet_rows + "end;1\n");
    CHECK(run({"apply", sheet_file.c_str()}).kind == error_kind::declaration_invalid);
    CHECK(run({"apply", contract_file.c_str()}).data["version"] == 1);
    CHECK(run({"diff", sheet_file.c_str()}).data["changes"].size() == 4);
    CHECK(run({"apply", sheet_file.c_str(), "--dry-run"}).data["version"] == 1);
    CHECK(run({"apply", sheet_file.c_str()}).data["version"] == 2);
    CHECK(run({"apply", sheet_file.c_str()}).data["changes"].empty());
    CHECK(run({"apply", contract_file.c_str()}).data["changes"].empty());
    const auto current = run({"get", "tetteh"});
    CHECK(current.data["contract"]["version"] == 2);
    CHECK(current.data["contract"]["services"][0]["floor_slots"] == 5);
    std::remove(contract_file.c_str());
    std::remove(sheet_file.c_str());
}

TEST_CASE_METHOD(ctl_fixture, "ctl_program: names its exit codes", "[ctl]")
{
    // Guards against scripts that take a failure for success.
    CHECK(run({"get", "tetteh"}).exit_code() == 3);
    CHECK(run({"status"}).exit_code() == answer_for(error_kind::peer_unreachable).exit_code);
    CHECK(run({"drain", "tetteh"}).exit_code() == 2);
    const auto unknown = run({"aply"});
    CHECK(unknown.exit_code() == 2);
    CHECK_THAT(unknown.lines.at(0), Catch::Contains("did you mean \"apply\""));
    CHECK(run({"check", "x", "--output=xml"}).exit_code() == 2);
    CHECK(run({"check", "/nonexistent/a.yaml"}).exit_code() == 2);
    CHECK(run({"--help"}).exit_code() == 0);
}

TEST_CASE_METHOD(ctl_fixture, "ctl_program: recognises its own write and a store that is down",
                 "[ctl]")
{
    // Guards against an operator who is told of a conflict with his own change after a lost
    // response, or of success while the store is down.
    const auto contract_file = file_name("-lost.yaml");
    write(contract_file, declaration);
    lose_write_responses();
    const auto applied = run({"apply", contract_file.c_str()});
    CHECK(applied.kind == error_kind::ok);
    CHECK(applied.data["version"] == 1);
    REQUIRE(faults().apply({{"unavailable", true}}));
    CHECK(run({"apply", contract_file.c_str()}).exit_code() == 5);
    std::remove(contract_file.c_str());
}
