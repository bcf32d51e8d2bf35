#include "fleet/restart_record_check.h"

#include <catch2/catch.hpp>

using namespace galenaroad;

namespace {

owner_record record_of(const std::string& address, store_era era)
{
    owner_record record;
    record.address = address;
    record.era = era;
    return record;
}

} // namespace

TEST_CASE("restart_record_check: a store with records of an earlier era may lack a departure",
          "[fleet]")
{
    // Guards against an upstream that gets requests again after it has left.
    restart_record_check check("own");
    check.on_records({record_of("own", store_era(4))}, store_era(5));
    CHECK(check.may_lack_departure());
    check.on_peers_up_to_date();
    CHECK_FALSE(check.may_lack_departure());
}

TEST_CASE("restart_record_check: a restart waits for peers only after a restore", "[fleet]")
{
    // Guards against upstreams without requests for seconds after each restart of a daemon.
    SECTION("the store names no era")
    {
        restart_record_check check("own");
        check.on_records({record_of("own", {}), record_of("other", {})}, {});
        CHECK_FALSE(check.may_lack_departure());
    }
    SECTION("the store has never come back from a copy")
    {
        restart_record_check check("own");
        check.on_records({record_of("own", {}), record_of("other", store_era(1))}, store_era(1));
        CHECK_FALSE(check.may_lack_departure());
    }
    SECTION("the own record was written in the present era")
    {
        restart_record_check check("own");
        check.on_records({record_of("other", store_era(1)), record_of("own", store_era(2))},
                         store_era(2));
        CHECK_FALSE(check.may_lack_departure());
    }
}
