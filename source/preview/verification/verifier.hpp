// Compares a saved preview with what then ran, queue by queue. Pure.
#pragma once
#include "preview/verification/miss_causes.hpp"
#include "preview/verification/result.hpp"

namespace calicostall {

// The preview must outlive it; the events are only read during the construction.
// Example: VerificationResult result = PreviewVerifier(preview, events, {}).verify();
class PreviewVerifier {
public:
    PreviewVerifier(const SavedPreview& preview, const std::vector<RunEvent>& events,
                    const VerificationSettings& settings);

    // To be called once.
    VerificationResult verify();

private:
    // One task that waited at the time of the snapshot: its prediction and its first start in the logs.
    struct TaskCheck {
        const SavedPreview::Task& predicted;
        const RunLogIndex::RunStart* start = nullptr;  // nullptr: it did not start within the covered time
        bool is_placed = false;                        // a start was predicted
        bool is_early = false;
        bool is_on_worker = false;
        bool is_on_time = false;
    };

    TaskCheck check_task(const std::string& task, const SavedPreview::Task& predicted) const;
    void verify_task(const std::string& task, const SavedPreview::Task& predicted);
    void verify_preemptions();
    void verify_unpredicted_preemptions(const std::set<std::string>& predicted);
    // Empty if the prediction was correct.
    static std::string describe_miss(const TaskCheck& check);
    MissContext context_of(const std::string& task, const TaskCheck& check) const;
    void record_miss(const std::string& queue, const MissContext& miss, std::string description);

    const SavedPreview& preview_;
    VerificationSettings settings_;
    RunLogIndex log_;
    MissCauses causes_;
    VerificationResult result_;
};

}  // namespace calicostall
