#include "experiment/capacity_measures.h"
#include "fleet/plan_replica.h"
#include "relay/plan_change_source.h"

#include <cxxopts.hpp>
#include <fstream>
#include <iostream>

using namespace galenaroad;

namespace {

constexpr int routes_per_service = 25;
constexpr int probes = 200'000;

/// One line of the output: what a daemon holds and spends for a plan of one size.
struct plan_sample {
    int routes = 0;
    std::size_t held_bytes = 0;   ///< Memory of the plan in force.
    std::size_t whole_bytes = 0;  ///< All pages of the whole plan.
    std::size_t pages = 0;        ///< Of the whole plan.
    std::size_t largest_page = 0; ///< In bytes.
    double encode_whole_ms = 0;   ///< At the daemon that sends it.
    double apply_whole_ms = 0;    ///< At the daemon that gets it.
    std::size_t change_bytes = 0; ///< Of one changed route.
    double encode_change_ms = 0;  ///< At the daemon that sends it.
    double apply_change_ms = 0;   ///< At the daemon that gets it.
    double match_ns = 0;          ///< Of one request.
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

sent_change encode_change(const plan_replica& from, std::uint64_t version)
{
    sent_change sent;
    plan_change_source source(from, version);
    std::string position;
    do {
        const auto& page = source.page(position).text();
        sent.pages.push_back(page);
        position = plan_page_codec::decode_page(page)->next_position;
    } while (!position.empty());
    return sent;
}

void decode_change(sent_change& sent)
{
    for (const auto& each : sent.pages) {
        auto page = *plan_page_codec::decode_page(each);
        auto& change = sent.change;
        if (change.version == 0) {
            change = std::move(page.part);
            continue;
        }
        std::move(page.part.routes.begin(), page.part.routes.end(),
                  std::back_inserter(change.routes));
        change.services.merge(page.part.services);
    }
}

plan_sample measure(int routes)
{
    plan_sample sample;
    sample.routes = routes;
    plan_replica sender;
    sender.replace(make_plan(1, routes));
    sent_change whole;
    sample.encode_whole_ms = milliseconds_of([&] { whole = encode_change(sender, 0); });
    sample.whole_bytes = whole.bytes();
    sample.pages = whole.pages.size();
    for (const auto& each : whole.pages) {
        sample.largest_page = std::max(sample.largest_page, each.size());
    }
    plan_replica receiver;
    decode_change(whole);
    const auto before = heap_in_use();
    sample.apply_whole_ms = milliseconds_of([&] { receiver.apply(whole.change); });
    sample.held_bytes = heap_in_use() - before;

    auto next = make_plan(2, routes);
    next.routes.front().targets.front().service = "service-1";
    sender.replace(next);
    sent_change changed;
    sample.encode_change_ms = milliseconds_of([&] { changed = encode_change(sender, 1); });
    sample.change_bytes = changed.bytes();
    decode_change(changed);
    sample.apply_change_ms = milliseconds_of([&] { receiver.apply(changed.change); });

    const auto name = name_of(routes / 2);
    const auto host = name + ".example";
    const auto target = "/" + name.substr(name.size() - 7) + "/item/part?x=1";
    const double match_ms = milliseconds_of([&] {
        for (int probe = 0; probe < probes; ++probe) {
            receiver.in_force()->match(host, target);
        }
    });
    sample.match_ns = match_ms * 1e6 / probes;
    return sample;
}

void print(const plan_sample& sample, std::ostream& output)
{
    output << sample.routes << ',' << sample.held_bytes << ',' << sample.whole_bytes << ','
           << sample.pages << ',' << sample.largest_page << ',' << sample.encode_whole_ms << ','
           << sample.apply_whole_ms << ',' << sample.change_bytes << ',' << sample.encode_change_ms
           << ',' << sample.apply_change_ms << ',' << sample.match_ns << '\n';
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("plan_capacity", "Measures what plans of growing size cost a daemon.");
    options.add_options()(
        "sizes", "numbers of routes",
        cxxopts::value<std::vector<int>>()->default_value("1000,10000,20000,40000,80000"))(
        "csv", "output file; standard output without it",
        cxxopts::value<std::string>())("h,help", "show this help");
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
    output << "routes,held_bytes,whole_bytes,pages,largest_page_bytes,encode_whole_ms,"
              "apply_whole_ms,change_bytes,encode_change_ms,apply_change_ms,match_ns\n";
    for (const auto size : arguments["sizes"].as<std::vector<int>>()) {
        print(measure(size), output);
    }
    return 0;
}
