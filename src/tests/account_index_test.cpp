#include "base/deflate_codec.h"
#include "fleet/plan_replica.h"
#include "support/change_pages.h"
#include "support/test_plans.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <rapidcheck.h>

using namespace galenaroad;

namespace {

constexpr int key_count = 6;

std::string key_text(int key)
{
    return "secret-" + std::to_string(key);
}

client_account random_account(const std::string& name)
{
    client_account account = make_test_account(name, {});
    const auto keys = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, key_count));
    for (const auto key : keys) {
        account.keys.push_back(api_key_digest::of(key_text(key)));
    }
    account.quota = *rc::gen::element(account_quota{}, account_quota{153, 20},
                                      account_quota{0.25, 5e9}, account_quota{1e300, 0});
    account.priority = *rc::gen::element(std::optional<int>(), std::optional<int>(0),
                                         std::optional<int>(1'000'000));
    return account;
}

routing_plan plan_with(std::uint64_t version, const std::map<std::string, client_account>& accounts)
{
    auto plan = make_test_plan(version, {{"a", "s"}});
    plan.has_accounts = true;
    for (const auto& [name, account] : accounts) {
        plan.accounts.push_back(account);
    }
    return plan;
}

/// @return the account that is the only one with a key; empty when there is none.
std::string only_holder(const std::map<std::string, client_account>& accounts,
                        const api_key_digest& key)
{
    std::vector<std::string> holders;
    for (const auto& [name, account] : accounts) {
        if (std::find(account.keys.begin(), account.keys.end(), key) != account.keys.end()) {
            holders.push_back(name);
        }
    }
    return holders.size() == 1 ? holders.front() : "";
}

void check_lookups(const plan_index& plan, const std::map<std::string, client_account>& accounts)
{
    RC_ASSERT(plan.account_count() == accounts.size());
    for (const auto& [name, account] : accounts) {
        const auto found = plan.account(name);
        RC_ASSERT(found != nullptr);
        RC_ASSERT(found->keys == account.keys);
        RC_ASSERT(found->priority == account.priority);
        RC_ASSERT(found->quota.rate == account.quota.rate);
        RC_ASSERT(found->quota.burst == account.quota.burst);
    }
    for (int key = 0; key < key_count; ++key) {
        const auto digest = api_key_digest::of(key_text(key));
        const auto found = plan.account_with_key(digest);
        RC_ASSERT((found ? found->name : "") == only_holder(accounts, digest));
    }
}

} // namespace

TEST_CASE("account_index: a key of two accounts identifies neither", "[fleet]")
{
    // Guards against a client that is taken for another one, and against daemons that identify
    // clients differently because they got the accounts in another order.
    const auto shared = api_key_digest::of("shared");
    plan_index plan(plan_with(1, {{"a", make_test_account("a", {"shared", "own"})},
                                  {"b", make_test_account("b", {"shared"})}}));
    CHECK(plan.account_with_key(shared) == nullptr);
    REQUIRE(plan.account_with_key(api_key_digest::of("own")) != nullptr);
    CHECK(plan.account_with_key(api_key_digest::of("own"))->name == "a");
    CHECK(plan.account_with_key(api_key_digest::of("unknown")) == nullptr);
    plan_change change;
    change.version = 2;
    change.base_version = 1;
    change.removed_accounts = {"a"};
    const auto next = plan.with(change);
    REQUIRE(next.account_with_key(shared) != nullptr);
    CHECK(next.account_with_key(shared)->name == "b");
    // Requests still use the earlier version.
    CHECK(plan.account_with_key(shared) == nullptr);
    CHECK(plan.account("a") != nullptr);
}

TEST_CASE("account_index: an account of any size is returned as it was added", "[fleet]")
{
    // Guards against sizes beyond those of one byte, and against accounts that share a part.
    constexpr int accounts = 3000;
    constexpr int many_keys = 300;
    std::map<std::string, client_account> added;
    for (int index = 0; index < accounts; ++index) {
        const auto name = "account-" + std::to_string(index);
        added[name] = make_test_account(name, {name + "-key"});
    }
    const std::string long_name(1000, 'n');
    added[long_name] = make_test_account(long_name, {});
    for (int key = 0; key < many_keys; ++key) {
        added[long_name].keys.push_back(api_key_digest::of(std::to_string(key)));
    }
    const plan_index plan(plan_with(1, added));
    REQUIRE(plan.account(long_name) != nullptr);
    CHECK(plan.account(long_name)->keys == added[long_name].keys);
    CHECK(plan.account_with_key(api_key_digest::of("7"))->name == long_name);
    std::size_t found = 0;
    for (const auto& [name, account] : added) {
        const auto with_key = plan.account_with_key(api_key_digest::of(name + "-key"));
        found += with_key && with_key->name == name ? 1 : 0;
    }
    CHECK(found == accounts);
}

TEST_CASE("account_index: changes in pages lead to the plan that is read", "[fleet]")
{
    // Guards against a revoked key that still identifies an account, and against daemons whose
    // accounts depend on the versions that they have had.
    CHECK(rc::check("equal lookups and digests", [] {
        std::map<std::string, client_account> accounts;
        plan_replica reader;
        plan_replica follower;
        const auto steps = *rc::gen::inRange(1, 40);
        for (int step = 1; step <= steps; ++step) {
            const auto changes = *rc::gen::inRange(1, 4);
            for (int change = 0; change < changes; ++change) {
                const auto name = "a" + std::to_string(*rc::gen::inRange(0, 5));
                if (*rc::gen::inRange(0, 3) == 0) {
                    accounts.erase(name);
                }
                else {
                    accounts[name] = random_account(name);
                }
            }
            const auto plan = plan_with(static_cast<std::uint64_t>(step), accounts);
            reader.replace(plan);
            check_lookups(*reader.in_force(), accounts);
            RC_ASSERT(reader.in_force()->digest() == plan_index(plan).digest());
            if (*rc::gen::inRange(0, 2) == 0) {
                RC_ASSERT(follower.apply(change_since(reader, follower.version())));
                check_lookups(*follower.in_force(), accounts);
            }
        }
    }));
}

TEST_CASE("plan_replica: a change of one key costs its account", "[fleet]")
{
    // Guards against a revocation that costs as much as the whole table of accounts.
    constexpr int count = 2000;
    std::map<std::string, client_account> accounts;
    for (int index = 0; index < count; ++index) {
        const auto name = "account-" + std::to_string(index);
        accounts[name] = make_test_account(name, {name + "-key"});
    }
    plan_replica replica;
    replica.replace(plan_with(1, accounts));
    accounts["account-7"].keys.push_back(api_key_digest::of("another"));
    accounts.erase("account-8");
    replica.replace(plan_with(2, accounts));
    const auto change = change_since(replica, 1);
    REQUIRE(change.accounts.size() == 1);
    CHECK(change.accounts.front().name == "account-7");
    CHECK(change.removed_accounts == std::vector<std::string>{"account-8"});
    CHECK(change.routes.empty());
    CHECK(change_since(replica, 0).accounts.size() == accounts.size());
}

TEST_CASE("plan_page: a plan without accounts is encoded as by earlier versions", "[relay]")
{
    // Guards against daemons of two versions that cannot exchange plans which use no accounts.
    constexpr std::size_t max_text_bytes = 10'000;
    plan_page page;
    page.part.routes = {make_test_route("a", "s")};
    const auto text = deflate_codec::decompress(plan_page_codec::encode(page), max_text_bytes);
    REQUIRE(text.has_value());
    CHECK(*text ==
          R"({"base":0,"digest":0,"next":"","position":"","properties":[16384,67108864,3000,15000,)"
          R"(0,true,true],"removed_routes":[],"removed_services":[],"routes":[["a","a.example",)"
          R"("/",1,30000,1000,1,0,[["s",1.0]]]],"services":[],"version":0})");
    constexpr std::uint64_t earlier_digest = 11745411937247367794U;
    CHECK(plan_index(make_test_plan(1, {{"a", "s"}})).digest() == earlier_digest);
    page.part.routes.front().is_public = true;
    page.part.properties.has_accounts = true;
    page.part.properties.has_all_accounts = false;
    const auto read = plan_page_codec::decode_page(plan_page_codec::encode(page));
    REQUIRE(read.has_value());
    CHECK(read->part.routes.front().is_public);
    CHECK(read->part.properties.has_accounts);
    CHECK_FALSE(read->part.properties.has_all_accounts);
}
