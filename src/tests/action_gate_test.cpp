#include "action/action_gate.h"
#include "action/request_digest.h"
#include "base/manual_clock.h"
#include "experiment/action_history_checker.h"
#include "platform/memory_object_store.h"
#include "platform/memory_table_service.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace galenaroad;
using namespace std::chrono_literals;

namespace {

struct gate_fixture {
    manual_clock time;
    memory_table_service tables;
    memory_object_store objects;
    attempt_id_source attempts{{"a", "127.0.0.1:7001", 5}, random_engine(1)};
    action_ledger ledger{tables, objects, time, attempts,
                         [](const std::string&, std::uint64_t) { return true; }};
    issued_action_table issued{attempts.daemon(), "secret", time};
    action_gate gate{ledger, issued, attempts, time,
                     [](const std::string& address, std::uint64_t incarnation) {
                         return address == "127.0.0.1:7002" && incarnation == 6;
                     }};
    route once;

    gate_fixture() { once.once = true; }
    action_request request(const std::string& key) const
    {
        return {"tetteh", key, "digest", time.steady_now() + 2s};
    }
    action_decision decide(const std::string& key) { return gate.decide(request(key), once); }
};

} // namespace

TEST_CASE("request_digest: different requests have different digests", "[action]")
{
    // Guards against a digest of the concatenated fields and a digest that depends on chunk
    // boundaries.
    request_digest whole("POST", "/orders");
    whole.append_body("belt");
    request_digest chunks("POST", "/orders");
    chunks.append_body("be");
    chunks.append_body("lt");
    request_digest shifted("POST", "/ordersb");
    shifted.append_body("elt");
    CHECK(whole.text() == chunks.text());
    CHECK(whole.text().size() == 32);
    CHECK(whole.text() != shifted.text());
}

TEST_CASE("action_gate: the route and the key determine the duplicate protection", "[action]")
{
    // Guards against a request that gets a weaker guarantee than its route declares.
    gate_fixture f;
    CHECK(f.gate.decide(f.request("k"), route()).ticket.protection == duplicate_protection::none);
    CHECK(f.decide("").ticket.protection == duplicate_protection::no_key);
    CHECK(f.decide("two words").error == error_kind::invalid_request);
    CHECK(f.decide(std::string(129, 'k')).error == error_kind::invalid_request);
    const auto run = f.decide("k");
    CHECK(run.kind == action_decision_kind::run);
    CHECK(run.ticket.protection == duplicate_protection::caller_key);
    CHECK(f.decide("k").error == error_kind::action_in_progress);
    f.gate.completed(run.ticket, {201, {}, "belt"});
    CHECK(f.decide("k").kind == action_decision_kind::replay);
    f.once.key_required = true;
    CHECK(f.decide("").error == error_kind::key_required);
}

TEST_CASE("action_gate: issued keys run at their issuer and are forwarded to live issuers only",
          "[action]")
{
    // Guards against a run at a daemon that did not issue the key, and against requests to an
    // arbitrary address in a forged key.
    gate_fixture f;
    const auto own = *f.issued.issue();
    const auto run = f.decide(own);
    CHECK(run.ticket.protection == duplicate_protection::issued_key);
    CHECK(f.decide(own).error == error_kind::action_in_progress);
    auto other_business = f.request(own);
    other_business.business = "cista-pipa";
    CHECK(f.gate.decide(other_business, f.once).error == error_kind::key_reused);
    f.gate.not_run(run.ticket, not_run_proof::fenced);
    const auto second = f.decide(own);
    CHECK(second.kind == action_decision_kind::run);
    CHECK(second.ticket.attempt_id != run.ticket.attempt_id);
    const auto key = [](const std::string& address, std::uint64_t incarnation) {
        return issued_key(address, incarnation, 1, "theirs").text();
    };
    CHECK(f.decide(key("127.0.0.1:7002", 6)).issuer_address == "127.0.0.1:7002");
    CHECK(f.decide(key("127.0.0.1:7002", 5)).error == error_kind::outcome_unknown);
    CHECK(f.decide(key("10.0.0.1:80", 6)).error == error_kind::outcome_unknown);
    CHECK(f.decide(key("127.0.0.1:7001", 4)).error == error_kind::outcome_unknown);
    CHECK(f.decide(key("127.0.0.1:7001", 5)).error == error_kind::invalid_request);
    CHECK(f.decide("gr1.nonsense").error == error_kind::invalid_request);
}

TEST_CASE("action_gate: an action with an unknown outcome is never started again", "[action]")
{
    // Guards against a retry without proof that the first attempt did not run, for both kinds of
    // keys.
    gate_fixture f;
    for (const auto& key : {std::string("k"), *f.issued.issue()}) {
        const auto run = f.decide(key);
        REQUIRE(run.kind == action_decision_kind::run);
        f.gate.outcome_unknown(run.ticket);
        CHECK(f.decide(key).error == error_kind::outcome_unknown);
    }
}

TEST_CASE("action_gate: a claim that is won after the deadline is released", "[action]")
{
    // Guards against a dispatch after the caller got the error that the deadline has passed.
    gate_fixture f;
    store_faults faults;
    faults.delay = [&](const store_call&) { f.time.advance(3s); };
    f.tables.inject(faults);
    CHECK(f.decide("k").error == error_kind::deadline_exceeded_before_run);
    f.tables.inject({});
    CHECK(f.decide("k").kind == action_decision_kind::run);
    auto expired = f.request("k2");
    expired.deadline = f.time.steady_now();
    CHECK(f.gate.decide(expired, f.once).error == error_kind::deadline_exceeded_before_run);
}

TEST_CASE("action_gate: responses above the limit are not recorded", "[action]")
{
    // Guards against the replay of an incomplete response.
    gate_fixture f;
    const auto run = f.decide("k");
    f.gate.completed(run.ticket,
                     {200, {}, std::string(action_gate::max_recorded_body_bytes + 1, 'x')});
    CHECK(f.decide("k").error == error_kind::outcome_unknown);
}

TEST_CASE("action_gate: concurrent threads start the action of each key once", "[action]")
{
    // Guards against data races in a daemon; the test also runs under ThreadSanitizer.
    gate_fixture f;
    action_history_checker history;
    std::vector<std::string> keys;
    for (int i = 0; i < 20; ++i) {
        keys.push_back("key-" + std::to_string(i));
        keys.push_back(*f.issued.issue());
    }
    const auto call_all = [&](const std::string& caller) {
        for (const auto& key : keys) {
            const auto request = caller + key;
            const auto decision = f.decide(key);
            if (decision.kind == action_decision_kind::run) {
                history.started({"tetteh", key, request, "digest"});
                history.responded("tetteh", key, key);
                f.gate.completed(decision.ticket, {200, {}, key});
            }
            const auto& body =
                decision.kind == action_decision_kind::run ? key : decision.response.body;
            history.answered(
                {"tetteh", key, request, "digest", answer_for(decision.error).run, body});
            f.ledger.retry_pending(1);
        }
    };
    std::vector<std::thread> callers;
    for (const char* name : {"a", "b", "c", "d"}) {
        callers.emplace_back(call_all, name);
    }
    for (auto& caller : callers) {
        caller.join();
    }
    CHECK(history.violations().empty());
    CHECK(history.starts() == keys.size());
}
