#include "control/plan/urgent_demand.hpp"

namespace calicostall {

namespace {

// Less than this share of a service is not worth keeping free.
constexpr double min_headroom_share = 0.01;

}  // namespace

void UrgentDemand::add(NameId service, std::int64_t level, const Resources& resources) {
    LevelUsage& usage = usage_[service][level];
    usage.current += resources;
    usage.peak = component_maximum(usage.peak, usage.current);
}

void UrgentDemand::remove(NameId service, std::int64_t level, const Resources& resources) {
    usage_[service][level].current -= resources;
}

void UrgentDemand::advance(Micros now) {
    const double decay = advanced_at_ ? std::exp(-double(now - advanced_at_) / double(settings_.urgent_memory)) : 1;
    advanced_at_ = now;
    for (auto& [service, levels] : usage_)
        for (auto& [level, usage] : levels) {
            usage.decayed_cpu = std::max(double(usage.peak.cpu), usage.decayed_cpu * decay);
            usage.decayed_memory = std::max(double(usage.peak.memory), usage.decayed_memory * decay);
            usage.peak = usage.current;
        }
}

void UrgentDemand::restore(NameId service, std::int64_t level, double cpu, double memory) {
    LevelUsage& usage = usage_[service][level];
    usage.decayed_cpu = cpu;
    usage.decayed_memory = memory;
}

UrgentDemand::Headroom UrgentDemand::headroom_for_urgent(NameId service, std::int64_t level, Micros length,
                                                         const Resources& capacity) const {
    Headroom headroom;
    auto found = usage_.find(service);
    if (found == usage_.end()) return headroom;
    const double length_factor =
        std::clamp(double(length) / double(std::max<Micros>(settings_.urgent_length, 1)), 0.0, 1.0);
    const double max_cpu = settings_.max_urgent_share * double(capacity.cpu);
    const double max_memory = settings_.max_urgent_share * double(capacity.memory);
    for (const auto& [other, usage] : found->second) {
        if (other >= level) break;
        headroom.cpu += length_factor * std::clamp(usage.decayed_cpu - double(usage.current.cpu), 0.0, max_cpu);
        headroom.memory +=
            length_factor * std::clamp(usage.decayed_memory - double(usage.current.memory), 0.0, max_memory);
    }
    if (headroom.cpu < min_headroom_share * double(capacity.cpu)) headroom.cpu = 0;
    if (headroom.memory < min_headroom_share * double(capacity.memory)) headroom.memory = 0;
    return headroom;
}

Resources UrgentDemand::in_use(NameId service, std::int64_t level) const {
    auto found = usage_.find(service);
    if (found == usage_.end()) return {};
    auto usage = found->second.find(level);
    return usage == found->second.end() ? Resources{} : usage->second.current;
}

Resources UrgentDemand::in_use(NameId service) const {
    Resources sum;
    auto found = usage_.find(service);
    if (found == usage_.end()) return sum;
    for (const auto& [level, usage] : found->second)
        sum += usage.current;
    return sum;
}

}  // namespace calicostall
