#include "action/action_gate.h"
#include "base/manual_clock.h"
#include "platform/memory_object_store.h"
#include "platform/memory_table_service.h"

#include <cxxopts.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <iostream>
#include <string>
#include <vector>

// Counts the calls to the platform's stores per order, for each way of an action, as CSV.

namespace galenaroad {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t small_body_bytes = 500;
constexpr std::size_t large_body_bytes = 20000; // Above the limit for bodies in the row.

struct store_calls {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;

    void count(const store_call& call) { ++(is_write(call.operation) ? writes : reads); }
};

// One daemon on stores that count calls.
struct cost_bench {
    cost_bench()
    {
        store_faults table_hooks;
        table_hooks.delay = [this](const store_call& call) { table_calls.count(call); };
        table_hooks.lose_response = [this](const store_call& call) {
            return lose_next_write && is_write(call.operation) &&
                   std::exchange(lose_next_write, false);
        };
        tables.inject(table_hooks);
        store_faults object_hooks;
        object_hooks.delay = [this](const store_call& call) { object_calls.count(call); };
        objects.inject(object_hooks);
    }

    action_decision decide(const std::string& key)
    {
        route rule;
        rule.once = true;
        return gate.decide({"tetteh", key, "digest", time.steady_now() + 2s}, rule);
    }

    void order(const std::string& key, std::size_t body_bytes)
    {
        const auto decision = decide(key);
        gate.completed(decision.ticket, {201, {}, std::string(body_bytes, 'x')});
    }

    manual_clock time;
    store_calls table_calls;
    store_calls object_calls;
    bool lose_next_write = false;
    memory_table_service tables;
    memory_object_store objects;
    attempt_id_source attempts{{"instance-1", "127.0.0.1:7001", 1}, random_engine(1)};
    action_ledger ledger{tables, objects, time, attempts,
                         [](const std::string&, std::uint64_t) { return true; }};
    issued_action_table issued{attempts.daemon(), "secret", time};
    action_gate gate{ledger, issued, attempts, time,
                     [](const std::string&, std::uint64_t) { return true; }};
};

// One kind of order. The work gets the order's number.
struct cost_case {
    std::string way;
    std::string course;
    std::function<void(cost_bench&, const std::string& number)> work;
};

void refuse_once(cost_bench& bench, const std::string& key)
{
    const auto first = bench.decide(key);
    bench.gate.not_run(first.ticket, not_run_proof::owner_refused);
    bench.order(key, small_body_bytes);
}

std::vector<cost_case> caller_key_cases()
{
    return {
        {"caller_key", "first_request",
         [](cost_bench& bench, const std::string& key) { bench.order(key, small_body_bytes); }},
        {"caller_key", "large_response",
         [](cost_bench& bench, const std::string& key) { bench.order(key, large_body_bytes); }},
        {"caller_key", "asked_again_once",
         [](cost_bench& bench, const std::string& key) {
             bench.order(key, small_body_bytes);
             bench.decide(key);
         }},
        {"caller_key", "large_response_asked_again_once",
         [](cost_bench& bench, const std::string& key) {
             bench.order(key, large_body_bytes);
             bench.decide(key);
         }},
        {"caller_key", "refused_and_asked_again", refuse_once},
        {"caller_key", "claim_response_lost",
         [](cost_bench& bench, const std::string& key) {
             bench.lose_next_write = true;
             bench.order(key, small_body_bytes);
         }},
        {"caller_key", "outcome_unknown_and_asked_again",
         [](cost_bench& bench, const std::string& key) {
             bench.gate.outcome_unknown(bench.decide(key).ticket);
             bench.decide(key);
         }},
    };
}

std::vector<cost_case> other_cases()
{
    return {
        {"issued_key", "first_request",
         [](cost_bench& bench, const std::string&) {
             bench.order(*bench.issued.issue(), small_body_bytes);
         }},
        {"issued_key", "asked_again_once",
         [](cost_bench& bench, const std::string&) {
             const auto key = *bench.issued.issue();
             bench.order(key, small_body_bytes);
             bench.decide(key);
         }},
        {"issued_key", "refused_and_asked_again",
         [](cost_bench& bench, const std::string&) { refuse_once(bench, *bench.issued.issue()); }},
        {"no_key", "first_request",
         [](cost_bench& bench, const std::string&) { bench.order("", small_body_bytes); }},
    };
}

void print_case(const cost_case& measured, int orders)
{
    cost_bench bench;
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < orders; ++i) {
        measured.work(bench, "order-" + std::to_string(i));
    }
    const std::chrono::duration<double, std::micro> elapsed =
        std::chrono::steady_clock::now() - begin;
    const auto per_order = [orders](auto sum) { return static_cast<double>(sum) / orders; };
    std::cout << measured.way << ',' << measured.course << ',' << orders << ','
              << per_order(bench.table_calls.reads) << ',' << per_order(bench.table_calls.writes)
              << ',' << per_order(bench.object_calls.reads) << ','
              << per_order(bench.object_calls.writes) << ',' << per_order(elapsed.count()) << '\n';
}

void print_all(int orders)
{
    std::cout << "way,course,orders,table_reads_per_order,table_writes_per_order,"
                 "object_reads_per_order,object_writes_per_order,microseconds_per_order\n";
    auto cases = caller_key_cases();
    for (auto& other : other_cases()) {
        cases.push_back(std::move(other));
    }
    for (const auto& measured : cases) {
        print_case(measured, orders);
    }
}

} // namespace

} // namespace galenaroad

int main(int argc, char** argv)
{
    cxxopts::Options options("action_cost", "Counts store calls per order, as CSV");
    options.add_options()("orders", "orders per case",
                          cxxopts::value<int>()->default_value("2000"));
    galenaroad::print_all(options.parse(argc, argv)["orders"].as<int>());
}
