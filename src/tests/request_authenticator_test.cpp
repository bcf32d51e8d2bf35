#include "accounts/request_authenticator.h"

#include "support/test_plans.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace galenaroad;

namespace {

using identity = request_authenticator::result;

routing_plan plan_with_accounts()
{
    auto plan = make_test_plan(1, {{"private", "s"}, {"public", "s"}});
    plan.routes.back().is_public = true;
    plan.has_accounts = true;
    plan.accounts = {{"a", {api_key_digest::of("key-a1"), api_key_digest::of("key-a2")}, {}, {}},
                     {"b", {api_key_digest::of("key-b")}, {}, {}},
                     {"without-keys", {}, {}, {}}};
    return plan;
}

identity identify(const routing_plan& plan, const header_list& fields,
                  const std::string& route = "private", plan_state state = plan_state::current)
{
    const plan_index index(plan);
    return request_authenticator(index, state).authenticate(*index.route(route), fields);
}

identity identify_key(const std::string& value)
{
    return identify(plan_with_accounts(), {{"Authorization", value}});
}

std::string name_of(const identity& found)
{
    return found && *found ? (*found)->name : "";
}

} // namespace

TEST_CASE("request_authenticator: the key decides the account", "[accounts]")
{
    // Guards against a client that is taken for another one or refused although its key is valid.
    CHECK(name_of(identify_key("Bearer key-a1")) == "a");
    CHECK(name_of(identify_key("Bearer key-a2")) == "a");
    CHECK(name_of(identify_key("bEARER  key-b")) == "b");
    CHECK(name_of(identify(plan_with_accounts(), {{"X-Client-Account", "b"},
                                                  {"authorization", "Bearer key-a1"}})) == "a");
}

TEST_CASE("request_authenticator: a request without one valid key is refused", "[accounts]")
{
    // Guards against a request that runs without an account, and against a refusal that does not
    // tell its cause.
    const auto error_of = [](const std::string& value) { return identify_key(value).error(); };
    CHECK(error_of("") == identity_error::other_scheme);
    CHECK(error_of("Basic key-b") == identity_error::other_scheme);
    CHECK(error_of("Bearerkey-b") == identity_error::other_scheme);
    CHECK(error_of("key-b") == identity_error::other_scheme);
    CHECK(error_of("Bearer") == identity_error::malformed_key);
    CHECK(error_of("Bearer  ") == identity_error::malformed_key);
    CHECK(error_of("Bearer key-b key-b") == identity_error::malformed_key);
    CHECK(error_of("Bearer key-b\t") == identity_error::malformed_key);
    CHECK(error_of("Bearer key-\x81") == identity_error::malformed_key);
    CHECK(error_of("Bearer " + std::string(request_authenticator::max_key_bytes + 1, 'k')) ==
          identity_error::malformed_key);
    CHECK(error_of("Bearer key-c") == identity_error::unknown_key);
    CHECK(error_of("Bearer KEY-B") == identity_error::unknown_key);
    CHECK(identify(plan_with_accounts(), {}).error() == identity_error::no_key);
    CHECK(identify(plan_with_accounts(),
                   {{"Authorization", "Bearer key-b"}, {"AUTHORIZATION", "Bearer key-b"}})
              .error() == identity_error::several_keys);
}

TEST_CASE("request_authenticator: a public route needs no key", "[accounts]")
{
    // Guards against a public route that is refused, and against a removed key that seems to work.
    const auto plan = plan_with_accounts();
    const auto without_key = identify(plan, {}, "public");
    REQUIRE(without_key.has_value());
    CHECK(*without_key == nullptr);
    CHECK(name_of(identify(plan, {{"Authorization", "Bearer key-b"}}, "public")) == "b");
    CHECK(identify(plan, {{"Authorization", "Bearer key-c"}}, "public").error() ==
          identity_error::unknown_key);
}

TEST_CASE("request_authenticator: a plan without accounts needs no key", "[accounts]")
{
    // Guards against deployments without accounts that refuse requests for their credentials.
    const auto plan = make_test_plan(1, {{"private", "s"}});
    for (const auto& fields : {header_list{}, header_list{{"Authorization", "Basic x"}}}) {
        const auto found = identify(plan, fields);
        REQUIRE(found.has_value());
        CHECK(*found == nullptr);
    }
}

TEST_CASE("request_authenticator: an unknown key is final only where the plan proves it",
          "[accounts]")
{
    // Guards against a client that gives up because a daemon does not know its key yet.
    const header_list unknown = {{"Authorization", "Bearer key-c"}};
    const header_list known = {{"Authorization", "Bearer key-b"}};
    auto plan = plan_with_accounts();
    CHECK(identify(plan, unknown, "private", plan_state::outdated).error() ==
          identity_error::unverified_key);
    CHECK(name_of(identify(plan, known, "private", plan_state::outdated)) == "b");
    CHECK(identify(plan, {}, "private", plan_state::outdated).error() == identity_error::no_key);
    plan.has_all_accounts = false;
    CHECK(identify(plan, unknown).error() == identity_error::unverified_key);
    CHECK(name_of(identify(plan, known)) == "b");
    plan.accounts.clear();
    CHECK(identify(plan, known).error() == identity_error::unverified_key);
}

TEST_CASE("request_authenticator: an account is found only by one of its keys in the plan in force",
          "[accounts]")
{
    // Guards against keys that work after they have been removed, moved, or given to two accounts.
    rc::prop("whatever the history of the plan", [] {
        const auto key = [] { return "key-" + std::to_string(*rc::gen::inRange(0, 4)); };
        auto plan = make_test_plan(1, {{"private", "s"}});
        plan.has_accounts = true;
        plan_index index(plan);
        const auto versions = *rc::gen::inRange(1, 6);
        std::map<std::string, std::vector<std::string>> keys_of;
        for (int version = 2; version <= versions + 1; ++version) {
            const std::string name(1, *rc::gen::element('a', 'b', 'c'));
            keys_of[name].clear();
            for (int count = *rc::gen::inRange(0, 3); count > 0; --count) {
                keys_of[name].push_back(key());
            }
            plan.version = static_cast<std::uint64_t>(version);
            plan.accounts.clear();
            for (const auto& [each, keys] : keys_of) {
                plan.accounts.push_back({each, {}, {}, {}});
                for (const auto& text : keys) {
                    plan.accounts.back().keys.push_back(api_key_digest::of(text));
                }
            }
            index = index.with(index.difference_to(plan));
        }
        const auto presented = key();
        std::set<std::string> holders;
        for (const auto& [name, keys] : keys_of) {
            if (std::find(keys.begin(), keys.end(), presented) != keys.end()) {
                holders.insert(name);
            }
        }
        const auto found =
            request_authenticator(index, plan_state::current)
                .authenticate(*index.route("private"), {{"Authorization", "Bearer " + presented}});
        RC_ASSERT(found.has_value() == (holders.size() == 1));
        RC_ASSERT(!found || name_of(found) == *holders.begin());
    });
}
