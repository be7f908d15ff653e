#include "preview/verification/report.hpp"

namespace calicostall {

namespace {

using boost::json::object;

std::string row_text(const std::string& name, const QueueVerification& each) {
    return fmt::format("{:<32} {:>15} {:>15} {:>15} {:>15} {:>12} {:>11} {:>12}\n", name, each.worker.text(),
                       each.undisturbed.text(), each.start_time.text(), each.waited.text(), each.preemptions.text(),
                       each.unpredicted_preemptions, each.not_covered);
}

std::string causes_text(const VerificationResult& result, const QueueVerification& sum) {
    std::string text = fmt::format("\ncauses of the {} misses:", result.misses.size());
    for (const auto& [cause, count] : sum.causes)
        text += fmt::format(" {} {},", count, cause);
    if (text.back() == ',') text.pop_back();
    return text + "\n";
}

std::string misses_text(const std::vector<MissedPrediction>& misses, size_t max_misses) {
    std::string text;
    for (size_t index = 0; index < std::min(max_misses, misses.size()); ++index) {
        const MissedPrediction& miss = misses[index];
        text += fmt::format("  {} {} {}: {}\n", miss.queue, miss.task, miss.description, miss.cause);
    }
    if (misses.size() > max_misses)
        text += fmt::format("  and {} more; --json shows all\n", misses.size() - max_misses);
    return text;
}

object tally_json(const PredictionTally& tally) {
    return object{{"said", tally.predicted}, {"true", tally.correct}};
}

object queue_json(const std::string& name, const QueueVerification& each) {
    object causes;
    for (const auto& [cause, count] : each.causes)
        causes[cause] = count;
    return object{{"queue", name},
                  {"priority", each.priority},
                  {"worker", tally_json(each.worker)},
                  {"worker_at_once", tally_json(each.worker_at_once)},
                  {"undisturbed", tally_json(each.undisturbed)},
                  {"time", tally_json(each.start_time)},
                  {"waited", tally_json(each.waited)},
                  {"pushed", tally_json(each.preemptions)},
                  {"pushed_unsaid", each.unpredicted_preemptions},
                  {"not_covered", each.not_covered},
                  {"causes", std::move(causes)}};
}

}  // namespace

std::string verification_text(const VerificationResult& result, size_t max_misses) {
    if (!result.is_comparable) return "the logs hold nothing of the time after the preview\n";
    std::string text = fmt::format("{:<32} {:>15} {:>15} {:>15} {:>15} {:>12} {:>11} {:>12}\n", "queue", "worker named",
                                   "undisturbed", "on time", "waited so", "pushed so", "unsaid", "not covered");
    std::vector<std::pair<std::string, QueueVerification>> rows(result.queues.begin(), result.queues.end());
    std::stable_sort(rows.begin(), rows.end(),
                     [](const auto& left, const auto& right) { return left.second.priority < right.second.priority; });
    QueueVerification sum;
    for (const auto& [name, each] : rows) {
        sum += each;
        text += row_text(name, each);
    }
    text += row_text("all", sum);
    return text + causes_text(result, sum) + misses_text(result.misses, max_misses);
}

boost::json::object verification_json(const VerificationResult& result) {
    boost::json::array queues;
    for (const auto& [name, each] : result.queues)
        queues.push_back(queue_json(name, each));
    boost::json::array misses;
    for (const MissedPrediction& each : result.misses)
        misses.push_back(
            object{{"task", each.task}, {"queue", each.queue}, {"what", each.description}, {"cause", each.cause}});
    return object{{"compared", result.is_comparable}, {"queues", std::move(queues)}, {"misses", std::move(misses)}};
}

}  // namespace calicostall
