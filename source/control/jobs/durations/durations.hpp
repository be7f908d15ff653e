// How long tasks take, by what was seen.
#pragma once
#include "control/jobs/state/job_entry.hpp"
#include "control/plan/sense.hpp"

namespace calicostall {

class Durations {
public:
    // How long a task of this step takes on a sound worker near its data.
    // Example: Micros expected = durations.expect(entry, 0);
    Micros expect(const JobEntry& entry, std::uint32_t step) const {
        if (measured(entry, step)) {
            const auto& [sum, count] = entry.took.at(step);
            return sum / count;
        }
        auto sense = senses_.find(entry.queue());
        return (sense == senses_.end() ? QueueSense{} : sense->second)
            .expect(entry.job.fixed.spec.steps[step].estimate);
    }
    // How long the longest of so many tasks of this step takes there: tasks of one step are uneven.
    // Example: Micros longest = durations.longest(entry, 0, 31);
    Micros longest(const JobEntry& entry, std::uint32_t step, std::uint64_t tasks) const {
        auto sense = senses_.find(entry.queue());
        double spread = sense == senses_.end() ? 0 : sense->second.spread();
        double beyond = spread * expected_largest(tasks);
        if (measured(entry, step)) beyond -= spread * spread / 2;  // `expect` is then their mean, not their median
        return Micros(double(expect(entry, step)) * std::exp(std::max(0.0, beyond)));
    }
    // Whether siblings of the same step have told.
    static bool measured(const JobEntry& entry, std::uint32_t step) {
        auto took = entry.took.find(step);
        return took != entry.took.end() && took->second.second >= 2;
    }
    void note(JobEntry& entry, std::uint32_t step, Micros took) {
        auto& seen = entry.took[step];
        seen.first += took;
        seen.second++;
        senses_[entry.queue()].note(entry.job.fixed.spec.steps[step].estimate, took);
    }

private:
    std::map<std::string, QueueSense> senses_;
};

}  // namespace calicostall
