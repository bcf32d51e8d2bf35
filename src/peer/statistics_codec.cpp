#include "peer/statistics_codec.h"

#include "peer.pb.h"

namespace galenaroad {

namespace {

constexpr double permille = 1000;

bool is_known_class(std::uint32_t work)
{
    return work <= static_cast<std::uint32_t>(request_class::transfer);
}

} // namespace

peer::LevelReport statistics_codec::encode(const statistics_report& report)
{
    peer::LevelReport message;
    message.set_business(report.service.business);
    message.set_service(report.service.service);
    message.set_instance(report.upstream.instance);
    message.set_upstream(report.upstream.name);
    message.set_preference_permille(
        static_cast<std::uint32_t>(report.assessment.preference * permille));
    message.set_hold_ms(static_cast<std::uint32_t>(report.assessment.hold_remaining.count()));
    for (const auto& each : report.statistics) {
        auto& added = *message.add_levels();
        added.set_work(static_cast<std::uint32_t>(each.work));
        added.set_usable(each.statistics.usable);
        added.set_log_time(static_cast<float>(each.statistics.log_time));
        added.set_log_spread(static_cast<float>(each.statistics.log_spread));
        added.set_timed(static_cast<std::uint32_t>(each.statistics.timed));
        added.set_judged(static_cast<std::uint32_t>(each.statistics.evaluated));
        added.set_failed(static_cast<std::uint32_t>(each.statistics.failed));
    }
    return message;
}

peer::LevelResponse statistics_codec::encode(const std::vector<class_reference>& references)
{
    peer::LevelResponse message;
    for (const auto& each : references) {
        auto& added = *message.add_references();
        added.set_work(static_cast<std::uint32_t>(each.work));
        added.set_log_time(static_cast<float>(each.reference.log_time));
        added.set_log_spread(static_cast<float>(each.reference.log_spread));
        added.set_failure_ratio(static_cast<float>(each.reference.failure_ratio));
        added.set_samples(static_cast<std::uint32_t>(each.reference.samples));
    }
    return message;
}

statistics_report statistics_codec::decode(const peer::LevelReport& message)
{
    statistics_report report;
    report.service = {message.business(), message.service()};
    report.upstream = {message.instance(), message.upstream()};
    report.assessment = {message.preference_permille() / permille,
                         std::chrono::milliseconds(message.hold_ms())};
    for (const auto& each : message.levels()) {
        if (!is_known_class(each.work())) {
            continue;
        }
        class_statistics statistics;
        statistics.usable = each.usable();
        statistics.log_time = static_cast<double>(each.log_time());
        statistics.log_spread = static_cast<double>(each.log_spread());
        statistics.timed = each.timed();
        statistics.evaluated = each.judged();
        statistics.failed = each.failed();
        report.statistics.push_back({static_cast<request_class>(each.work()), statistics});
    }
    return report;
}

std::vector<class_reference> statistics_codec::decode(const peer::LevelResponse& message)
{
    std::vector<class_reference> references;
    for (const auto& each : message.references()) {
        if (!is_known_class(each.work())) {
            continue;
        }
        peer_reference reference;
        reference.log_time = static_cast<double>(each.log_time());
        reference.log_spread = static_cast<double>(each.log_spread());
        reference.failure_ratio = static_cast<double>(each.failure_ratio());
        reference.samples = each.samples();
        references.push_back({static_cast<request_class>(each.work()), reference});
    }
    return references;
}

} // namespace galenaroad
