#include "peer/level_codec.h"

#include "peer.pb.h"

namespace galenaroad {

namespace {

constexpr double permille = 1000;

bool is_known_class(std::uint32_t work)
{
    return work <= static_cast<std::uint32_t>(request_class::transfer);
}

} // namespace

peer::LevelReport level_codec::encode(const level_report& report)
{
    peer::LevelReport message;
    message.set_business(report.service.business);
    message.set_service(report.service.service);
    message.set_instance(report.upstream.instance);
    message.set_upstream(report.upstream.name);
    message.set_preference_permille(static_cast<std::uint32_t>(report.view.preference * permille));
    message.set_hold_ms(static_cast<std::uint32_t>(report.view.hold_remaining.count()));
    for (const auto& each : report.levels) {
        auto& added = *message.add_levels();
        added.set_work(static_cast<std::uint32_t>(each.work));
        added.set_usable(each.level.usable);
        added.set_log_time(static_cast<float>(each.level.log_time));
        added.set_log_spread(static_cast<float>(each.level.log_spread));
        added.set_timed(static_cast<std::uint32_t>(each.level.timed));
        added.set_judged(static_cast<std::uint32_t>(each.level.judged));
        added.set_failed(static_cast<std::uint32_t>(each.level.failed));
    }
    return message;
}

peer::LevelResponse level_codec::encode(const std::vector<class_reference>& references)
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

level_report level_codec::decode(const peer::LevelReport& message)
{
    level_report report;
    report.service = {message.business(), message.service()};
    report.upstream = {message.instance(), message.upstream()};
    report.view = {message.preference_permille() / permille,
                   std::chrono::milliseconds(message.hold_ms())};
    for (const auto& each : message.levels()) {
        if (!is_known_class(each.work())) {
            continue;
        }
        class_level level;
        level.usable = each.usable();
        level.log_time = static_cast<double>(each.log_time());
        level.log_spread = static_cast<double>(each.log_spread());
        level.timed = each.timed();
        level.judged = each.judged();
        level.failed = each.failed();
        report.levels.push_back({static_cast<request_class>(each.work()), level});
    }
    return report;
}

std::vector<class_reference> level_codec::decode(const peer::LevelResponse& message)
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
