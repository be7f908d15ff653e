#include "preview/verification/result.hpp"

namespace calicostall {

void PredictionTally::add(bool is_correct) {
    ++predicted;
    correct += is_correct;
}

PredictionTally& PredictionTally::operator+=(const PredictionTally& more) {
    predicted += more.predicted;
    correct += more.correct;
    return *this;
}

std::string PredictionTally::text() const {
    if (predicted == 0) return "-";
    return fmt::format("{}/{} {:.0f}%", correct, predicted, 100 * double(correct) / double(predicted));
}

QueueVerification& QueueVerification::operator+=(const QueueVerification& more) {
    priority = more.priority;
    worker += more.worker;
    worker_at_once += more.worker_at_once;
    start_time += more.start_time;
    waited += more.waited;
    preemptions += more.preemptions;
    undisturbed += more.undisturbed;
    not_covered += more.not_covered;
    unpredicted_preemptions += more.unpredicted_preemptions;
    for (const auto& [cause, count] : more.causes)
        causes[cause] += count;
    return *this;
}

VerificationResult& VerificationResult::operator+=(const VerificationResult& more) {
    is_comparable = is_comparable || more.is_comparable;
    for (const auto& [name, queue] : more.queues)
        queues[name] += queue;
    misses.insert(misses.end(), more.misses.begin(), more.misses.end());
    return *this;
}

}  // namespace calicostall
