#include "experiment/day_account.h"

#include <catch2/catch.hpp>

using namespace galenaroad;

namespace {

std::string entry(const std::string& id, int status, const std::string& reason,
                  const std::string& refusal)
{
    return R"(  12.3 a {"time":"2026-12-04T10:00:01.5Z","message":"entry","request_id":")" + id +
           R"(","service":"vault","status":")" + std::to_string(status) + R"(","reason":")" +
           reason + R"(","last_refusal":")" + refusal + R"("})";
}

std::string run(const std::string& id, const std::string& result, int served_ms)
{
    return R"({"message":"owner","request_id":")" + id + R"(","result":")" + result +
           R"(","fault":"","waited_ms":"100","elapsed_ms":")" + std::to_string(100 + served_ms) +
           R"(","expected_service_ms":"160"})";
}

long count(const day_account& account, unserved_cause cause)
{
    return account.by_service().at("vault").unserved.at(static_cast<std::size_t>(cause));
}

} // namespace

TEST_CASE("day_account: each request that was not served has one cause", "[experiment]")
{
    // Guards against an account whose causes overlap or miss requests.
    day_account account;
    account.add_line(run("served", "answered", 150));
    account.add_line(entry("served", 200, "delivered", "none"));
    account.add_line(entry("full", 503, "not_run", "busy"));
    account.add_line(entry("late", 503, "not_run", "expired"));
    account.add_line(entry("left", 0, "client_left", "none"));
    account.add_line(run("fast", "answered", 3));
    account.add_line(entry("fast", 500, "delivered", "none"));
    account.add_line(run("slow", "answered", 150));
    account.add_line(entry("slow", 500, "delivered", "none"));
    account.add_line(run("again", "answered", 3));
    account.add_line(entry("again", 500, "delivered", "no_allowance"));
    account.add_line(run("lost", "connection_lost", 90));
    account.add_line(entry("lost", 502, "outcome_unknown", "none"));
    const auto row = account.by_service().at("vault");
    CHECK(row.asked == 8);
    CHECK(row.served == 1);
    CHECK(count(account, unserved_cause::no_slot) == 1);
    CHECK(count(account, unserved_cause::waited_in_vain) == 1);
    CHECK(count(account, unserved_cause::client_left) == 1);
    CHECK(count(account, unserved_cause::failed_at_once) == 1);
    CHECK(count(account, unserved_cause::failed_in_work) == 1);
    CHECK(count(account, unserved_cause::retry_budget) == 1);
    CHECK(count(account, unserved_cause::answer_lost) == 1);
    CHECK(account.by_second().count("2026-12-04T10:00:01") == 1);
}

TEST_CASE("day_account: other lines are left out", "[experiment]")
{
    // Guards against an account that ends at the first line of another program.
    day_account account;
    CHECK_FALSE(account.add_line("played in 12 s"));
    CHECK_FALSE(account.add_line("{\"message\":"));
    CHECK_FALSE(account.add_line(R"({"message":"started"})"));
    CHECK(account.add_line(R"({"message":"owner","request_id":"r","result":"busy"})"));
    CHECK(account.refusals().at("busy") == 1);
}
