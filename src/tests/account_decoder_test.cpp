#include "base/deflate_codec.h"
#include "fleet/plan_index.h"
#include "plan_decoder.h"
#include "relay/plan_page.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace galenaroad;
using json = nlohmann::json;

namespace {

json plan_with(json accounts)
{
    return {
        {"version", 7},
        {"routes", {{"a", {{"host", "h"}, {"prefix", "/a/"}, {"kind", "safe"}, {"service", "s"}}}}},
        {"services", {{"s", json::object()}}},
        {"tenants", std::move(accounts)}};
}

json account(const json& keys)
{
    return {{"api_keys", keys}, {"priority", 1}, {"rate_per_s", 153}, {"burst", 20.5}};
}

routing_plan decoded(const json& plan)
{
    auto read = plan_decoder::decode({7, plan.dump()});
    REQUIRE(read.has_value());
    return *read;
}

} // namespace

TEST_CASE("account_decoder: accounts are read with digests of their keys", "[platform]")
{
    // Guards against accounts that lose a field, and against routes that need no key by mistake.
    auto configuration = plan_with({{"one", account({"k1", "k2"})}, {"two", json::object()}});
    configuration["tenants"]["two"]["api_keys"] = json::array();
    configuration["routes"]["a"]["public"] = true;
    const auto plan = decoded(configuration);
    CHECK(plan.has_accounts);
    CHECK(plan.has_all_accounts);
    CHECK(plan.errors.empty());
    CHECK(plan.routes.front().is_public);
    REQUIRE(plan.accounts.size() == 2);
    const auto& one = plan.accounts.front();
    CHECK(one.keys == std::vector{api_key_digest::of("k1"), api_key_digest::of("k2")});
    CHECK(one.priority == 1);
    CHECK(one.quota.rate == 153);
    CHECK(one.quota.burst == 20.5);
    const auto& two = plan.accounts.back();
    CHECK(two.keys.empty());
    CHECK_FALSE(two.priority.has_value());
    CHECK_FALSE(two.quota.is_limited());
}

TEST_CASE("account_decoder: without a table of accounts clients need no key", "[platform]")
{
    // Guards against deployments without accounts that refuse every client.
    auto configuration = plan_with(nullptr);
    CHECK_FALSE(decoded(configuration).has_accounts);
    configuration.erase("tenants");
    const auto plan = decoded(configuration);
    CHECK_FALSE(plan.has_accounts);
    CHECK(plan.has_all_accounts);
    CHECK_FALSE(plan.routes.front().is_public);
}

TEST_CASE("account_decoder: a table of accounts that cannot be read admits nobody", "[platform]")
{
    // Guards against a mistake of the operators that makes every route public.
    const auto plan = decoded(plan_with(GENERATE(json(5), json("x"), json::array({1}))));
    CHECK(plan.has_accounts);
    CHECK_FALSE(plan.has_all_accounts);
    CHECK(plan.errors.size() == 1);
}

TEST_CASE("account_decoder: an account that is invalid in part keeps the rest", "[platform]")
{
    // Guards against one invalid key or limit that locks out a client with all its other keys.
    const std::string overlong(api_key_digest::max_key_bytes + 1, 'k');
    auto value = account({"good", 5, "", overlong, nullptr});
    value["rate_per_s"] = GENERATE(json(-1), json("x"), json(nullptr), json(1e300));
    value["burst"] = -5;
    value["priority"] = "high";
    const auto plan = decoded(plan_with({{"one", value}, {"two", account({"other"})}}));
    CHECK_FALSE(plan.has_all_accounts);
    CHECK(plan.errors.size() == 4);
    REQUIRE(plan.accounts.size() == 2);
    const auto& one = plan.accounts.front();
    CHECK(one.keys == std::vector{api_key_digest::of("good")});
    CHECK_FALSE(one.quota.is_limited());
    CHECK_FALSE(one.priority.has_value());
    CHECK(plan.accounts.back().quota.is_limited());
}

TEST_CASE("account_decoder: accounts without keys or with an invalid name are reported",
          "[platform]")
{
    // Guards against a name that ends the header field in which upstreams get it.
    const auto plan = decoded(plan_with({{"", account({"k"})},
                                         {"a\r\nX: y", account({"k"})},
                                         {"five", 5},
                                         {"keyless", {{"priority", 1}}}}));
    CHECK_FALSE(plan.has_all_accounts);
    REQUIRE(plan.accounts.size() == 1);
    CHECK(plan.accounts.front().name == "keyless");
    CHECK(plan.errors.size() == 4);
}

TEST_CASE("account_decoder: no key's text is in errors or pages", "[platform]")
{
    // Guards against secrets in logs and between daemons.
    constexpr std::size_t max_text_bytes = 1'000'000;
    const std::string secret = "wx72-secret-key";
    const std::string overlong = secret + std::string(api_key_digest::max_key_bytes, 'k');
    const auto plan = decoded(plan_with({{"one", account({secret, overlong, 5})},
                                         {"two", account({secret})},
                                         {"three", {{"api_keys", secret}}},
                                         {"four", secret}}));
    CHECK(plan.errors.size() == 4);
    for (const auto& error : plan.errors) {
        CHECK((error.part + error.message).find(secret) == std::string::npos);
    }
    // One key of two accounts is reported once, with both names.
    CHECK(std::count_if(plan.errors.begin(), plan.errors.end(), [](const auto& error) {
              return error.part == "account two" &&
                     error.message.find("'one'") != std::string::npos;
          }) == 1);
    CHECK(plan_index(plan).account_with_key(api_key_digest::of(secret)) == nullptr);
    plan_page page;
    page.part = plan_index().difference_to(plan);
    const auto text = deflate_codec::decompress(plan_page_codec::encode(page), max_text_bytes);
    REQUIRE(text.has_value());
    CHECK(text->find("\"one\"") != std::string::npos);
    CHECK(text->find(secret) == std::string::npos);
}
