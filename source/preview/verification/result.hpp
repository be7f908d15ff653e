// What the verification of a preview found. Plain data; PreviewVerifier fills it, report.hpp prints it.
#pragma once
#include "common.hpp"

namespace calicostall {

// When a prediction counts as correct, and how far the logs reach.
struct VerificationSettings {
    // A start or a stop that differs from its predicted time by at most this (microseconds) is on time.
    Micros tolerance = milliseconds(500);
    // Wall-clock time (microseconds since 1970) up to which the logs are complete; 0: up to their last line.
    Micros logs_complete_until = 0;
};

// How many predictions of one kind were made and how many of them were correct.
struct PredictionTally {
    size_t predicted = 0;
    size_t correct = 0;
    void add(bool is_correct);
    PredictionTally& operator+=(const PredictionTally& more);
    // Example: "7/8 88%"; "-" when nothing was predicted.
    std::string text() const;
};

// The predictions of one queue against what ran.
struct QueueVerification {
    std::int64_t priority = 0;
    PredictionTally worker;          // the task started on the predicted worker
    PredictionTally worker_at_once;  // the same, of tasks predicted to start at the time of the snapshot
    PredictionTally start_time;      // the task started on time
    PredictionTally waited;          // the task did not start before its predicted time
    PredictionTally preemptions;     // the run was preempted on time
    // Worker and time, of tasks predicted to start before the first event that no preview can know.
    PredictionTally undisturbed;
    size_t not_covered = 0;              // predicted for a time that the logs don't reach
    size_t unpredicted_preemptions = 0;  // runs of the snapshot that were stopped without a prediction
    std::map<std::string, size_t> causes;
    QueueVerification& operator+=(const QueueVerification& more);
};

// A prediction that was wrong: of which task, how, and the most likely cause.
struct MissedPrediction {
    std::string task;  // "JOB.OCCURRENCE.STEP.INDEX"
    std::string queue;
    std::string description;
    std::string cause;
};

// The result of one verification, or the sum of several.
struct VerificationResult {
    std::map<std::string, QueueVerification> queues;
    std::vector<MissedPrediction> misses;
    bool is_comparable = false;  // false: the logs hold nothing of the time after the preview
    VerificationResult& operator+=(const VerificationResult& more);
};

}  // namespace calicostall
