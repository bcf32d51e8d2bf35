#include "admission/slot_queue.h"
#include "base/process_clock.h"
#include "experiment/capacity_measures.h"
#include "routing/routing_snapshot_builder.h"
#include "routing/upstream_selector.h"

#include <cxxopts.hpp>
#include <fstream>
#include <iostream>

using namespace galenaroad;

namespace {

// Proportions of the planned fleet: 6,500 daemons, 74,000 upstreams, 3,200 services, 80,000 routes.
constexpr int upstreams_per_daemon = 11;
constexpr int upstreams_per_service = 23;
constexpr int routes_per_service = 25;
constexpr int services_per_business = 4;
constexpr int data_centres = 11;
constexpr int regions = 4;
constexpr int probes = 200'000;
constexpr int first_instance = 10'000; // Equal numbers of digits keep the names ordered.

/// One line of the output: what an entry daemon holds and spends at one size.
struct capacity_sample {
    std::string role;
    int size = 0;
    std::size_t bytes = 0;
    double build_ms = 0;
    double operation_ns = 0;
};

service_id service_at(int index)
{
    return {"business-" + std::to_string(index / services_per_business),
            "service-" + std::to_string(index % services_per_business)};
}

membership_view make_members(int upstreams)
{
    std::vector<member> members;
    std::shared_ptr<member_record> record;
    const int services = std::max(1, upstreams / upstreams_per_service);
    std::vector<std::shared_ptr<const service_id>> names;
    names.reserve(static_cast<std::size_t>(services));
    for (int index = 0; index < services; ++index) {
        names.push_back(std::make_shared<service_id>(service_at(index)));
    }
    for (int index = 0; index < upstreams; ++index) {
        if (index % upstreams_per_daemon == 0) {
            record = std::make_shared<member_record>();
            const int centre = (index / upstreams_per_daemon) % data_centres;
            const int number = first_instance + index / upstreams_per_daemon;
            record->name = "instance-" + std::to_string(number);
            record->peer_address = "10.0.0.1:7101";
            record->location = std::make_shared<data_centre>(data_centre{
                "region-" + std::to_string(centre % regions), "centre-" + std::to_string(centre)});
            members.push_back({record, 1, instance_state::alive});
        }
        record->upstreams.push_back(
            {"server-" + std::to_string(index), names[index % services], 7, 330});
    }
    return membership_view(std::move(members), 1);
}

std::vector<std::shared_ptr<const contract>> make_contracts(int routes)
{
    std::vector<std::shared_ptr<const contract>> contracts;
    const int per_business = routes_per_service * services_per_business;
    for (int business = 0; business * per_business < routes; ++business) {
        auto made = std::make_shared<contract>();
        made->business = "business-" + std::to_string(business);
        made->hosts = {made->business + ".example"};
        for (int index = 0; index < per_business; ++index) {
            route declared;
            declared.path_prefix = "/area/route-" + std::to_string(index);
            declared.service = "service-" + std::to_string(index / routes_per_service);
            made->routes.push_back(declared);
        }
        contracts.push_back(made);
    }
    return contracts;
}

capacity_sample measure_upstreams(int upstreams)
{
    const auto members = make_members(upstreams);
    const std::size_t before = heap_in_use();
    routing_snapshot_builder builder("instance-10000", *members.members().front().record->location);
    std::shared_ptr<const routing_snapshot> snapshot;
    capacity_sample sample{"upstream", upstreams};
    sample.build_ms = milliseconds_of([&] { snapshot = builder.build(members, {}); });
    sample.bytes = heap_in_use() - before;
    random_engine random(1);
    const process_clock clock;
    const auto* candidates = snapshot->candidates(service_at(0));
    const double selection_ms = milliseconds_of([&] {
        for (int probe = 0; probe < probes; ++probe) {
            upstream_selector().select(*candidates, {}, clock.steady_now(), random);
        }
    });
    sample.operation_ns = selection_ms * 1e6 / probes;
    return sample;
}

// One daemon of the fleet is replaced between two builds.
capacity_sample measure_update(int upstreams)
{
    const auto members = make_members(upstreams);
    routing_snapshot_builder builder("instance-10000", *members.members().front().record->location);
    builder.build(members, {});
    auto changed = members.members();
    changed.back().record = std::make_shared<member_record>(*changed.back().record);
    const membership_view next(std::move(changed), 2);
    capacity_sample sample{"update_of_one_daemon", upstreams};
    sample.build_ms = milliseconds_of([&] { builder.build(next, {}); });
    return sample;
}

capacity_sample measure_routes(int routes)
{
    const auto contracts = make_contracts(routes);
    const std::size_t before = heap_in_use();
    std::unique_ptr<route_table> table;
    capacity_sample sample{"route", routes};
    sample.build_ms = milliseconds_of([&] { table = std::make_unique<route_table>(contracts); });
    sample.bytes = heap_in_use() - before;
    const double match_ms = milliseconds_of([&] {
        for (int probe = 0; probe < probes; ++probe) {
            table->match("business-0.example", "GET", "/area/route-7/a/b");
        }
    });
    sample.operation_ns = match_ms * 1e6 / probes;
    return sample;
}

capacity_sample measure_contracts(int routes)
{
    const std::size_t before = heap_in_use();
    capacity_sample sample{"contract_route", routes};
    std::vector<std::shared_ptr<const contract>> contracts;
    sample.build_ms = milliseconds_of([&] { contracts = make_contracts(routes); });
    sample.bytes = heap_in_use() - before;
    return sample;
}

// Client accounts are remembered only while their service's queue is not empty.
capacity_sample measure_accounts(int accounts)
{
    const process_clock clock;
    slot_queue queue(7);
    const auto deadline = clock.steady_now() + std::chrono::hours(1);
    for (std::uint64_t ticket = 1; ticket <= 8; ++ticket) {
        queue.offer({ticket, "first", request_class::read, 0, deadline}, clock.steady_now());
    }
    const std::size_t before = heap_in_use();
    capacity_sample sample{"account_in_busy_queue", accounts};
    sample.build_ms = milliseconds_of([&] {
        for (int index = 0; index < accounts; ++index) {
            const auto now = clock.steady_now();
            const auto ticket = static_cast<std::uint64_t>(index) + 100;
            queue.offer(
                {ticket, "account-" + std::to_string(index), request_class::read, 0, deadline},
                now);
            queue.finish(now, now);
        }
    });
    sample.bytes = heap_in_use() - before;
    sample.operation_ns = sample.build_ms * 1e6 / accounts;
    return sample;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("entry_capacity", "Measures the state of the entry role as CSV");
    options.add_options()("csv", "Output file; standard output when absent",
                          cxxopts::value<std::string>()->default_value(""))("help", "Show help");
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") != 0) {
        std::cout << options.help();
        return 0;
    }
    std::ofstream file;
    const auto path = arguments["csv"].as<std::string>();
    if (!path.empty()) {
        file.open(path);
    }
    std::ostream& out = path.empty() ? std::cout : file;
    out << "state,size,bytes,build_ms,operation_ns\n";
    const auto print = [&](const capacity_sample& sample) {
        out << sample.role << ',' << sample.size << ',' << sample.bytes << ',' << sample.build_ms
            << ',' << sample.operation_ns << '\n';
    };
    for (const int upstreams : {9'250, 18'500, 37'000, 74'000}) {
        print(measure_upstreams(upstreams));
        print(measure_update(upstreams));
    }
    for (const int routes : {10'000, 20'000, 40'000, 80'000}) {
        print(measure_routes(routes));
        print(measure_contracts(routes));
    }
    for (const int accounts : {1'000, 10'000, 100'000, 200'000}) {
        print(measure_accounts(accounts));
    }
    return 0;
}
