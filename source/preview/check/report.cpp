// A check as a table for a person and as JSON for programs.
#include "preview/check.hpp"

namespace calicostall {

namespace {

using boost::json::object;

std::string row_text(const std::string& name, const QueueCheck& each) {
    return fmt::format("{:<32} {:>15} {:>15} {:>15} {:>15} {:>12} {:>11} {:>12}\n", name, each.worker.text(),
                       each.undisturbed.text(), each.time.text(), each.waited.text(), each.pushed.text(),
                       each.pushed_unsaid, each.not_covered);
}

std::string causes_text(const CheckResult& result, const QueueCheck& sum) {
    std::string text = fmt::format("\ncauses of the {} misses:", result.misses.size());
    for (const auto& [cause, count] : sum.causes)
        text += fmt::format(" {} {},", count, cause);
    if (text.back() == ',') text.pop_back();
    return text + "\n";
}

std::string misses_text(const std::vector<Miss>& misses, size_t most) {
    std::string text;
    for (size_t place = 0; place < std::min(most, misses.size()); ++place) {
        const Miss& miss = misses[place];
        text += fmt::format("  {} {} {}: {}\n", miss.queue, miss.task, miss.what, miss.cause);
    }
    if (misses.size() > most) text += fmt::format("  and {} more; --json shows all\n", misses.size() - most);
    return text;
}

object tally_json(const Tally& tally) {
    return object{{"said", tally.said}, {"true", tally.true_ones}};
}

object queue_json(const std::string& name, const QueueCheck& each) {
    object causes;
    for (const auto& [cause, count] : each.causes)
        causes[cause] = count;
    return object{{"queue", name},
                  {"priority", each.priority},
                  {"worker", tally_json(each.worker)},
                  {"worker_at_once", tally_json(each.worker_at_once)},
                  {"undisturbed", tally_json(each.undisturbed)},
                  {"time", tally_json(each.time)},
                  {"waited", tally_json(each.waited)},
                  {"pushed", tally_json(each.pushed)},
                  {"pushed_unsaid", each.pushed_unsaid},
                  {"not_covered", each.not_covered},
                  {"causes", std::move(causes)}};
}

}  // namespace

std::string check_text(const CheckResult& result, size_t misses_most) {
    if (!result.compared) return "the logs hold nothing of the time after the preview\n";
    std::string text = fmt::format("{:<32} {:>15} {:>15} {:>15} {:>15} {:>12} {:>11} {:>12}\n", "queue", "worker named",
                                   "undisturbed", "on time", "waited so", "pushed so", "unsaid", "not covered");
    std::vector<std::pair<std::string, QueueCheck>> rows(result.queues.begin(), result.queues.end());
    std::stable_sort(rows.begin(), rows.end(),
                     [](const auto& left, const auto& right) { return left.second.priority < right.second.priority; });
    QueueCheck sum;
    for (const auto& [name, each] : rows) {
        sum += each;
        text += row_text(name, each);
    }
    text += row_text("all", sum);
    return text + causes_text(result, sum) + misses_text(result.misses, misses_most);
}

boost::json::object check_json(const CheckResult& result) {
    boost::json::array queues;
    for (const auto& [name, each] : result.queues)
        queues.push_back(queue_json(name, each));
    boost::json::array misses;
    for (const Miss& each : result.misses)
        misses.push_back(
            object{{"task", each.task}, {"queue", each.queue}, {"what", each.what}, {"cause", each.cause}});
    return object{{"compared", result.compared}, {"queues", std::move(queues)}, {"misses", std::move(misses)}};
}

}  // namespace calicostall
