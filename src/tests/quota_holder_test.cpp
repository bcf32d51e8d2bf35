#include "accounts/quota_holder.h"
#include "base/manual_clock.h"

#include <catch2/catch.hpp>

using namespace galenaroad;
using namespace std::chrono_literals;

namespace {

constexpr quota_tolerance tolerance{5000ms, 0.1, 20};

/// A holder, first in its ranking, for as long as its bucket needs to fill up.
struct tested_holder {
    manual_clock time;
    owner_directory directory;
    holder_members members;
    holder_authority authority{members, "a"};
    std::optional<account_quota> quota = account_quota{10, 5};
    std::vector<std::string> doubted;
    std::vector<std::string> asked; ///< For their handovers.
    quota_holder holder{authority,
                        tolerance,
                        {[this](const auto&) { return quota; },
                         {[this](const auto& address) { doubted.push_back(address); },
                          [this](const auto& address) { asked.push_back(address); }}}};

    tested_holder()
    {
        add("a");
        time.advance(10s);
    }

    void add(const std::string& address)
    {
        owner_record record;
        record.address = address;
        record.revision = 1;
        record.state = announced_state::ready;
        directory.merge(record);
        members.update(directory, true, time.steady_now());
    }

    /// Adds daemons until one of them ranks first.
    /// @return its address.
    std::string add_first()
    {
        for (int each = 0; members.ranked("acme").front() == "a"; ++each) {
            add("b" + std::to_string(each));
        }
        return members.ranked("acme").front();
    }

    std::optional<quota_answer> ask(std::uint32_t sequence, std::uint16_t wanted,
                                    std::uint16_t returned = 0, std::uint32_t session = 1)
    {
        return holder.answer({session, sequence, wanted, returned, "acme"}, time.steady_now());
    }
};

} // namespace

TEST_CASE("quota_holder: a repeated question gets the same answer", "[quota]")
{
    // Guards against a repeated datagram that takes or returns tokens twice.
    tested_holder test;
    CHECK(test.ask(1, 2)->granted == 2);
    CHECK(test.ask(1, 2)->tokens == 3);
    CHECK(test.ask(2, 0, 1)->tokens == 4);
    CHECK(test.ask(2, 0, 1)->tokens == 4);
    CHECK_FALSE(test.ask(1, 2).has_value());
    CHECK(test.ask(3, 9)->granted == 4);
}

TEST_CASE("quota_holder: refused requests are told the times of successive tokens", "[quota]")
{
    // Guards against retries that all come for the same token.
    tested_holder test;
    test.ask(1, 5);
    CHECK(test.ask(2, 1, 0, 1)->retry_after == 100ms);
    CHECK(test.ask(2, 1, 0, 2)->retry_after == 200ms);
    CHECK(test.ask(2, 1, 0, 3)->retry_after == 300ms);
    test.time.advance(1s);
    CHECK(test.ask(3, 1)->granted == 1);
}

TEST_CASE("quota_holder: an account that it does not know is answered by another daemon", "[quota]")
{
    // Guards against a holder with an old plan that refuses, or admits, a new account.
    tested_holder test;
    test.quota.reset();
    CHECK(test.ask(1, 1)->authority == quota_authority::none);
    test.quota = account_quota{};
    CHECK(test.ask(2, 1000)->granted == 1000);
}

TEST_CASE("quota_holder: another daemon takes over only after a proof that the first has ended",
          "[quota]")
{
    // Guards against a second holder beside one that is silent.
    tested_holder test;
    const auto first = test.add_first();
    CHECK(test.ask(1, 1)->authority == quota_authority::full);
    test.time.advance(10s);
    CHECK(test.ask(2, 1)->authority == quota_authority::deputy);
    CHECK(test.doubted.back() == first);
    test.authority.record_contact(test.time.steady_now());
    test.authority.record_absence(first, test.time.steady_now());
    const auto taken_over = test.ask(3, 50);
    CHECK(taken_over->authority == quota_authority::full);
    // Only the share of a deputy, since the bucket is empty.
    CHECK(taken_over->granted <= 5);
    test.time.advance(holder_authority::absence_time + 1ms);
    CHECK(test.ask(4, 1)->authority == quota_authority::deputy);
}

TEST_CASE("quota_holder: a daemon that joins waits for the handover of those that rank after it",
          "[quota]")
{
    // Guards against a second holder beside one that does not know of the daemon that has joined.
    tested_holder test;
    for (int each = 0; each < 3; ++each) {
        test.add("b" + std::to_string(each));
    }
    test.members = {};
    test.members.update(test.directory, true, test.time.steady_now());
    const auto order = test.members.ranked("acme");
    const auto own = std::find(order.begin(), order.end(), "a");
    const std::vector<std::string> before(order.begin(), own);
    const std::vector<std::string> after(own + 1, order.end());
    REQUIRE(after.size() >= 2);
    const auto confirm = [&](const std::string& address, handover_state state) {
        test.authority.record_handover(address, state, test.time.steady_now());
    };
    test.time.advance(holder_authority::start_time + 1ms);
    const auto prove_absence = [&] {
        test.authority.record_contact(test.time.steady_now());
        for (const auto& each : before) {
            test.authority.record_absence(each, test.time.steady_now());
        }
    };
    prove_absence();
    CHECK(test.ask(1, 1)->authority == quota_authority::deputy);
    CHECK(test.asked == after);
    confirm(after[0], handover_state::not_yet);
    CHECK(test.ask(2, 1)->authority == quota_authority::deputy);
    SECTION("one that has held the account is enough")
    {
        confirm(after[0], handover_state::done);
        CHECK(test.ask(3, 1)->authority == quota_authority::full);
    }
    SECTION("one that has joined lately is not")
    {
        confirm(after[0], handover_state::never_held);
        CHECK(test.ask(3, 1)->authority == quota_authority::deputy);
        confirm(after[1], handover_state::done);
        CHECK(test.ask(4, 1)->authority == quota_authority::full);
    }
    SECTION("one that does not run holds nothing")
    {
        test.authority.record_absence(after[0], test.time.steady_now());
        confirm(after[1], handover_state::done);
        CHECK(test.ask(3, 1)->authority == quota_authority::full);
    }
    SECTION("all daemons know of it after some time")
    {
        test.time.advance(holder_authority::join_time);
        prove_absence();
        CHECK(test.ask(3, 1)->authority == quota_authority::full);
    }
}

TEST_CASE("quota_holder: a holder ceases when it confirms the handover", "[quota]")
{
    // Guards against a confirmation by a daemon that still holds the accounts, and against an
    // account that is refused because its holder ceases before the next one begins.
    tested_holder test;
    const auto hand_over = [&](const std::string& address) {
        return test.authority.hand_over_to(address, test.time.steady_now());
    };
    CHECK(hand_over("unknown") == handover_state::not_yet);
    const auto first = test.add_first();
    CHECK(test.ask(1, 1)->authority == quota_authority::full);
    CHECK(hand_over(first) == handover_state::done);
    CHECK(test.ask(2, 1)->authority == quota_authority::deputy);
    // A daemon that asks runs, whatever was known of it.
    test.authority.record_contact(test.time.steady_now());
    test.authority.record_absence(first, test.time.steady_now());
    CHECK(test.ask(3, 1)->authority == quota_authority::full);
    CHECK(hand_over(first) == handover_state::done);
    CHECK(test.ask(4, 1)->authority == quota_authority::deputy);
}

TEST_CASE("quota_holder: the state of idle accounts is removed", "[quota]")
{
    // Guards against memory that grows with all accounts that were ever asked for.
    tested_holder test;
    for (std::uint32_t each = 1; each <= 100; ++each) {
        test.holder.answer({1, each, 1, 0, std::to_string(each)}, test.time.steady_now());
    }
    CHECK(test.holder.account_count() == 100);
    test.time.advance(20s);
    test.ask(200, 1);
    CHECK(test.holder.account_count() == 1);
}
