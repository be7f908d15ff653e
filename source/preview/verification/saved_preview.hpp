// A preview that `calicostall preview --json` saved, read back as far as its verification needs it. Plain data.
#pragma once
#include "preview/report.hpp"

namespace calicostall {

// Which of the two forecasts of a saved preview is meant.
enum class SavedPreviewPart { baseline, with_change };

// One forecast of a saved preview. Times are microseconds after the snapshot; -1 is a time that was not predicted.
struct SavedPreview {
    // A task that waited at the time of the snapshot.
    struct Task {
        std::string queue;
        std::string worker;  // ID of the worker it was predicted to start on; empty without a predicted start
        PlacementOutcome outcome = PlacementOutcome::pending;
        Micros starts_after = -1;
        Micros ends_after = -1;
    };
    // A run at the time of the snapshot.
    struct Running {
        std::string queue;
        std::string worker;
        Micros ends_after = -1;
    };
    // A run that was predicted to be preempted.
    struct Preemption {
        std::string queue;
        std::string task;
        std::string worker;
        Micros after = 0;
    };
    Micros wall_clock = 0;             // of the snapshot, microseconds since 1970
    Micros horizon = 0;                // how far the preview looked ahead
    std::int64_t unheard_workers = 0;  // workers that the leader had not heard of
    std::string term;
    std::set<std::string> jobs;                                // IDs of the snapshot's jobs
    std::vector<std::pair<std::string, std::int64_t>> queues;  // names and priorities
    std::map<std::string, Task> tasks;                         // by task name, without copies
    std::map<std::string, Running> running;                    // by task name
    std::vector<Preemption> preemptions;
};

// Reads one part of a preview that was saved by --json; everything wrong with it is a finding with its location.
// Example: Findings findings; auto preview = read_saved_preview(text, "today.json", SavedPreviewPart::baseline,
// findings);
SavedPreview read_saved_preview(std::string_view text, const std::string& name, SavedPreviewPart part,
                                Findings& findings);

}  // namespace calicostall
