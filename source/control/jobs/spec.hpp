// What a client submits as a job, and its complete validation.
#pragma once
#include "common.hpp"
#include "shared/diagnostics/finding.hpp"

namespace calicostall {

// One step of a job: `count` equal tasks. Field order is the order on disk.
struct Step {
    std::uint32_t count = 1;
    std::int64_t cpu = 0, memory = 0, gpu = 0;  // of one task: thousandths of a core, MB, accelerators
    Micros estimate = 0;                        // the client's estimate of a task's duration; 0: none
    std::vector<std::uint32_t> dependencies;    // indexes of earlier steps that must be done first
    bool checkpoints = false;                   // its tasks report checkpoints, from which another run goes on
    bool gang = false;                          // all tasks run at once or not at all
    bool same_rack = false, duplicate_ok = false, long_running = false;
    std::string required_label;       // a worker must have it; empty: any worker
    std::string affinity;             // a label near the step's data; empty: none
    std::uint32_t anti_affinity = 0;  // at most so many tasks of the step on one worker; 0: any number
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(count), visit(cpu), visit(memory), visit(gpu), visit(estimate), visit(dependencies), visit(checkpoints),
            visit(gang), visit(same_rack), visit(duplicate_ok), visit(long_running), visit(required_label),
            visit(affinity), visit(anti_affinity);
    }
};

// A job as its client submitted it. Field order is the order on disk.
struct JobSpec {
    std::string text;  // `job_spec`: handed to the workers as it is
    std::vector<Step> steps;
    std::uint64_t repeats = 0;          // occurrences of a recurring job; 0: the job does not recur
    Micros first_at = 0, interval = 0;  // wall clock of the first occurrence, and the time between two
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(text), visit(steps), visit(repeats), visit(first_at), visit(interval);
    }
};

// What a submitted job may ask for.
struct SpecLimits {
    size_t max_text_bytes = 4000;
    std::uint64_t max_tasks = 10000, max_steps = 1000;
    std::int64_t max_number = std::int64_t(1) << 40;  // numbers may be up to 1024 times as large
};

// Reads and checks a submitted job.
// @param findings  gets all that is wrong; the result is valid only when nothing was added
// Example: Findings findings; JobSpec spec = parse_job_spec(body, {}, findings); if (!findings.empty()) answer 400
JobSpec parse_job_spec(std::string_view body, const SpecLimits& limits, Findings& findings);

// What a job asks for, for the run log: its latency target in microseconds, its occurrences (first, interval, how many;
// zeros: it does not recur), and for each step COUNTxCPUxMEMORY, `g` for a gang, `l` for a long-running one, and the
// indexes of the steps before it.
// Example: "350000;0,0,0;31x12000x22000,4x1000x500g@0"
std::string requested_work_text(const JobSpec& spec, Micros target);

// A job id is 16 hexadecimal digits.
// Example: is_valid_job_id("5c0e7a21d94b36f8")
bool is_valid_job_id(std::string_view id);

}  // namespace calicostall
