// What a client asked for when its job was accepted. It never changes afterwards and is written to the record once.
#pragma once
#include "common.hpp"
#include "control/jobs/spec.hpp"

namespace calicostall {

// The immutable part of a job. Field order is the order on disk.
struct JobDefinition {
    std::string id, host, prefix, service;
    std::int64_t priority = 0;
    std::uint32_t max_attempts = 1;
    double extension = 1.5;          // factor on the job's shortest duration in its deadline; not stored, see below
    Micros target = 0;               // added to the extended duration: the latency target
    Micros accepted_wall_clock = 0;  // time of day of acceptance
    JobSpec spec;
    std::uint64_t extension_thousandths = 1500;  // `extension` as it is stored
    using IsFrame = void;
    template <class Visitor>
    void describe(Visitor& visit) {
        visit(id), visit(host), visit(prefix), visit(service), visit(priority), visit(max_attempts),
            visit(extension_thousandths), visit(target), visit(accepted_wall_clock), visit(spec);
    }
};

}  // namespace calicostall
