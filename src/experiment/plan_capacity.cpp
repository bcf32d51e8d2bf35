#include "experiment/capacity_measures.h"
#include "fleet/plan_replica.h"
#include "relay/plan_change_source.h"

#include <cxxopts.hpp>
#include <fstream>
#include <functional>
#include <iostream>

using namespace galenaroad;

namespace {

constexpr int routes_per_service = 25;
constexpr int probes = 200'000;
// Names of accounts are as long as on the users' platform.
constexpr std::size_t account_name_size = 3;

/// One line of the output: what a daemon holds and spends for a plan of one size.
struct plan_sample {
    int size = 0;                  ///< Number of routes or client accounts.
    std::size_t held_bytes = 0;    ///< Memory of the plan in force.
    std::size_t whole_bytes = 0;   ///< All pages of the whole plan.
    std::size_t pages = 0;         ///< Of the whole plan.
    std::size_t largest_page = 0;  ///< In bytes.
    double encode_whole_ms = 0;    ///< At the daemon that sends it.
    double apply_whole_ms = 0;     ///< At the daemon that gets it.
    std::size_t source_bytes = 0;  ///< Memory of the sender of the whole plan, beside the plan.
    std::size_t fetched_bytes = 0; ///< Memory of the receiver before it applies the whole plan.
    double difference_ms = 0;      ///< At the daemon that reads the next plan from the store.
    std::size_t change_bytes = 0;  ///< Of one changed route or account.
    double encode_change_ms = 0;   ///< At the daemon that sends it.
    double apply_change_ms = 0;    ///< At the daemon that gets it.
    double lookup_ns = 0;          ///< Of the route or account of one request.
};

// Names that differ as random ones do, since similar names would compress better.
std::string name_of(int index)
{
    constexpr std::uint64_t factor = 0x9e3779b97f4a7c15U;
    return "route-" + std::to_string((static_cast<std::uint64_t>(index) + 1) * factor);
}

std::string service_of(int index)
{
    return "service-" + std::to_string(index / routes_per_service);
}

routing_plan make_plan(std::uint64_t version, int routes)
{
    routing_plan plan;
    plan.version = version;
    for (int index = 0; index < routes; ++index) {
        route_rule rule;
        rule.name = name_of(index);
        rule.host = rule.name + ".example";
        rule.prefix = "/" + rule.name.substr(rule.name.size() - 7) + "/";
        rule.targets = {{service_of(index), 1}};
        plan.services[service_of(index)] = {"/health", 330};
        plan.routes.push_back(std::move(rule));
    }
    return plan;
}

routing_plan make_plan_of_accounts(std::uint64_t version, int accounts)
{
    routing_plan plan;
    plan.version = version;
    plan.has_accounts = true;
    plan.accounts.reserve(static_cast<std::size_t>(accounts));
    for (int index = 0; index < accounts; ++index) {
        client_account account;
        account.name = name_of(index).substr(0, account_name_size);
        account.name += std::to_string(index);
        account.keys = {api_key_digest::of(name_of(index)),
                        api_key_digest::of("second-" + name_of(index))};
        account.priority = 1;
        account.quota = {153, 153};
        plan.accounts.push_back(std::move(account));
    }
    return plan;
}

/// The pages of a change, and the change put together from them.
struct sent_change {
    std::vector<std::string> pages;
    plan_change change;

    std::size_t bytes() const
    {
        std::size_t sum = 0;
        for (const auto& each : pages) {
            sum += each.size();
        }
        return sum;
    }
};

sent_change encode_change(plan_change_source& source)
{
    sent_change sent;
    std::string position;
    do {
        const auto& page = source.page(position).text();
        sent.pages.push_back(page);
        position = plan_page_codec::decode_page(page)->next_position;
    } while (!position.empty());
    return sent;
}

sent_change encode_change(const plan_replica& from, std::uint64_t version)
{
    plan_change_source source(from, version);
    return encode_change(source);
}

/// @return memory that the source of a change holds until its peers have got it.
std::size_t source_bytes_of(const plan_replica& from)
{
    const auto before = heap_in_use();
    plan_change_source source(from, 0);
    encode_change(source);
    return heap_in_use() - before;
}

void decode_change(sent_change& sent)
{
    for (const auto& each : sent.pages) {
        auto page = *plan_page_codec::decode_page(each);
        if (sent.change.version == 0) {
            sent.change = std::move(page.part);
        }
        else {
            sent.change.append(std::move(page.part));
        }
    }
}

/// @param size number of routes or accounts.
/// @param plan the plan.
/// @param next the plan with one change.
/// @param look_up finds the route or account of one request.
plan_sample measure(int size, const routing_plan& plan, const routing_plan& next,
                    const std::function<void(const plan_index&)>& look_up)
{
    plan_sample sample;
    sample.size = size;
    plan_replica sender;
    sender.replace(plan);
    sent_change whole;
    sample.encode_whole_ms = milliseconds_of([&] { whole = encode_change(sender, 0); });
    sample.whole_bytes = whole.bytes();
    sample.pages = whole.pages.size();
    for (const auto& each : whole.pages) {
        sample.largest_page = std::max(sample.largest_page, each.size());
    }
    sample.source_bytes = source_bytes_of(sender);
    plan_replica receiver;
    const auto before_fetch = heap_in_use();
    decode_change(whole);
    sample.fetched_bytes = heap_in_use() - before_fetch;
    const auto before = heap_in_use();
    sample.apply_whole_ms = milliseconds_of([&] { receiver.apply(whole.change); });
    sample.held_bytes = heap_in_use() - before;

    sample.difference_ms = milliseconds_of([&] { sender.replace(next); });
    sent_change changed;
    sample.encode_change_ms = milliseconds_of([&] { changed = encode_change(sender, 1); });
    sample.change_bytes = changed.bytes();
    decode_change(changed);
    sample.apply_change_ms = milliseconds_of([&] { receiver.apply(changed.change); });

    const double lookup_ms = milliseconds_of([&] {
        for (int probe = 0; probe < probes; ++probe) {
            look_up(*receiver.in_force());
        }
    });
    sample.lookup_ns = lookup_ms * 1e6 / probes;
    return sample;
}

plan_sample measure_routes(int routes)
{
    auto next = make_plan(2, routes);
    next.routes.front().targets.front().service = "service-1";
    const auto name = name_of(routes / 2);
    const auto host = name + ".example";
    const auto target = "/" + name.substr(name.size() - 7) + "/item/part?x=1";
    return measure(routes, make_plan(1, routes), next,
                   [&](const plan_index& plan) { plan.match(host, target); });
}

// One more key. The lookup includes the digest of the key.
plan_sample measure_accounts(int accounts)
{
    auto next = make_plan_of_accounts(2, accounts);
    next.accounts.front().keys.push_back(api_key_digest::of("third"));
    const auto key = name_of(accounts / 2);
    return measure(accounts, make_plan_of_accounts(1, accounts), next,
                   [&](const plan_index& plan) { plan.account_with_key(api_key_digest::of(key)); });
}

void print(const plan_sample& sample, std::ostream& output)
{
    output << sample.size << ',' << sample.held_bytes << ',' << sample.whole_bytes << ','
           << sample.pages << ',' << sample.largest_page << ',' << sample.encode_whole_ms << ','
           << sample.apply_whole_ms << ',' << sample.change_bytes << ',' << sample.encode_change_ms
           << ',' << sample.apply_change_ms << ',' << sample.lookup_ns << ','
           << sample.difference_ms << ',' << sample.source_bytes << ',' << sample.fetched_bytes
           << '\n';
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("plan_capacity", "Measures what plans of growing size cost a daemon.");
    options.add_options()(
        "sizes", "numbers of routes",
        cxxopts::value<std::vector<int>>()->default_value("1000,10000,20000,40000,80000"))(
        "accounts", "numbers of client accounts, measured instead of routes",
        cxxopts::value<std::vector<int>>())("csv", "output file; standard output without it",
                                            cxxopts::value<std::string>())("h,help",
                                                                           "show this help");
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
        std::cout << options.help();
        return 0;
    }
    std::ofstream file;
    if (arguments.count("csv") > 0) {
        file.open(arguments["csv"].as<std::string>());
    }
    auto& output = file.is_open() ? static_cast<std::ostream&>(file) : std::cout;
    const auto print_columns = [&](const char* first, const char* lookup) {
        output << first << ",held_bytes,whole_bytes,pages,largest_page_bytes,encode_whole_ms,"
               << "apply_whole_ms,change_bytes,encode_change_ms,apply_change_ms," << lookup
               << ",difference_ms,source_bytes,fetched_bytes\n";
    };
    if (arguments.count("accounts") > 0) {
        print_columns("accounts", "identify_ns");
        for (const auto size : arguments["accounts"].as<std::vector<int>>()) {
            print(measure_accounts(size), output);
        }
        return 0;
    }
    print_columns("routes", "match_ns");
    for (const auto size : arguments["sizes"].as<std::vector<int>>()) {
        print(measure_routes(size), output);
    }
    return 0;
}
