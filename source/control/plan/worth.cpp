#include "control/plan/worth.hpp"

#include <algorithm>
#include <cmath>

#include "control/jobs/spec.hpp"

namespace calicostall {

namespace {

constexpr double worth_of_any = 0.3, worth_of_work = 0.7, worth_most = 4;
constexpr double newest_weight = 0.02;  // of the newest job in the mean of many
constexpr size_t sizes_kept = 64;       // jobs of a queue against which a new one's size is held
constexpr double largest_share = 0.1, large_share = 0.3;
constexpr std::uint64_t turn_every = 4;
constexpr double least_room_seconds = 1e-6;  // a job that is all but done
constexpr double micros_a_second = 1e6, thousand = 1e3;

}  // namespace

double share_of_room(const Step& step, const ServiceRoom& room) {
    double by_cpu = room.cpu > 0 ? double(step.cpu) / room.cpu : 0;
    double by_memory = room.memory > 0 ? double(step.memory) / room.memory : 0;
    return std::max(by_cpu, by_memory);
}

Micros time_in_share(const Step& step, std::uint64_t tasks, const StepTimes& times, const ServiceRoom& room,
                     double share) {
    if (tasks == 0) return 0;
    if (step.gang || step.long_running) return times.longest;
    double waves = share_of_room(step, room) * double(tasks) / share;
    return times.longest + Micros(std::max(0.0, waves - 1) * double(times.usual));
}

void JobWork::add(const Step& step, std::uint64_t tasks, Micros each, const ServiceRoom& room) {
    double task_seconds = double(tasks) * double(each) / micros_a_second;
    core_seconds += task_seconds * double(step.cpu) / thousand;
    room_seconds += task_seconds * share_of_room(step, room);
}

double job_worth(double core_seconds, double mean_core_seconds) {
    if (mean_core_seconds <= 0) return 1;
    return std::min(worth_most, worth_of_any + worth_of_work * core_seconds / mean_core_seconds);
}

void MeanWork::note(const std::string& queue, double core_seconds) {
    Mean& mean = means_[queue];
    double weight = std::max(newest_weight, 1.0 / double(++mean.count));
    mean.value += weight * (core_seconds - mean.value);
}

double MeanWork::mean(const std::string& queue) const {
    auto found = means_.find(queue);
    return found == means_.end() ? 0 : found->second.value;
}

bool SizeTurns::takes_turn(const std::string& queue, double core_seconds) {
    Sizes& sizes = sizes_[queue];
    sizes.lately.push_back(core_seconds);
    if (sizes.lately.size() > sizes_kept) sizes.lately.pop_front();
    auto larger =
        std::count_if(sizes.lately.begin(), sizes.lately.end(), [&](double each) { return each > core_seconds; });
    double rank = double(larger) / double(sizes.lately.size());
    if (rank < largest_share) return sizes.largest++ % turn_every == 0;
    if (rank < large_share) return sizes.large++ % turn_every == 0;
    return false;
}

double log_density(double worth, double room_seconds_left) {
    if (room_seconds_left <= 0) return 0;
    return std::log2(worth / std::max(room_seconds_left, least_room_seconds));
}

}  // namespace calicostall
