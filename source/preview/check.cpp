#include "preview/check.hpp"

namespace calicostall {

namespace {

// Example: job_of("5c0e7a21d94b36f8.0.1.17") == "5c0e7a21d94b36f8", time_of(...) == "5c0e7a21d94b36f8.0"
std::string job_of(const std::string& task) {
    return task.substr(0, task.find('.'));
}
std::string time_of(const std::string& task) {
    return task.substr(0, task.rfind('.', task.rfind('.') - 1));
}

}  // namespace

std::string Tally::text() const {
    return said ? fmt::format("{}/{} {:.0f}%", true_ones, said, 100 * double(true_ones) / double(said)) : "-";
}

QueueCheck& QueueCheck::operator+=(const QueueCheck& more) {
    priority = more.priority;
    worker += more.worker;
    worker_at_once += more.worker_at_once;
    time += more.time;
    waited += more.waited;
    pushed += more.pushed;
    undisturbed += more.undisturbed;
    not_covered += more.not_covered;
    pushed_unsaid += more.pushed_unsaid;
    for (const auto& [cause, count] : more.causes)
        causes[cause] += count;
    return *this;
}

Checker::Checker(const Said& said, const std::vector<RunLine>& lines, const CheckSettings& settings)
    : said_(said), settings_(settings) {
    for (const RunLine& line : lines) {
        last_ = std::max(last_, line.wall - said.wall);
        if (line.wall < said.wall) continue;
        after_.push_back(&line);
    }
    std::stable_sort(after_.begin(), after_.end(),
                     [](const RunLine* left, const RunLine* right) { return left->wall < right->wall; });
    if (settings.until) last_ = settings.until - said.wall;
    covered_ = std::min(last_, said.horizon);
    index();
}

CheckResult Checker::check() {
    result_.compared = covered_ > 0;
    for (const auto& [queue, priority] : said_.queues)
        result_.queues[queue].priority = priority;
    if (!result_.compared) return std::move(result_);
    // Misses are found first: one may be the cause of the next.
    for (const auto& [task, said] : said_.tasks) {
        auto began = starts_.find(task);
        if (said.landing == Landing::lands && began != starts_.end() && began->second.worker != said.worker)
            strays_[began->second.worker].push_back(began->second.at);
    }
    for (const auto& [task, said] : said_.tasks)
        check_task(task, said);
    check_pushed();
    return std::move(result_);
}

void Checker::index() {
    for (const RunLine* line : after_) {
        index(*line);
        if (is_surprise(*line)) disturbed_ = std::min(disturbed_, line->wall - said_.wall);
    }
    for (const auto& [task, run] : said_.running)
        if (run.ends >= 0) note_off(task, {run.worker, 0}, run.ends);
    for (const auto& [task, each] : said_.tasks) {
        auto began = starts_.find(task);
        if (each.ends >= 0 && began != starts_.end()) note_off(task, began->second, each.ends - each.at);
    }
}

void Checker::index(const RunLine& line) {
    const Micros at = line.wall - said_.wall;
    const std::string job = job_of(line.task);
    switch (line.event) {
        case RunLine::Event::start:
            starts_.try_emplace(line.task, Began{line.worker, at});
            if (!said_.jobs.contains(job)) strangers_[line.worker].push_back(at);
            break;
        case RunLine::Event::end:
            ends_.try_emplace(line.task, Ended{line.worker, line.how, at});
            if (line.how == "stopped") stops_.emplace(line.task, at);
            if (line.how == "failed") {
                failed_[line.worker].push_back(at);
                failed_jobs_[job].push_back(at);
            }
            break;
        case RunLine::Event::worker_over:
            over_.try_emplace(line.worker, at);
            break;
        case RunLine::Event::job_ended:
            jobs_ended_.try_emplace(line.task, std::pair(line.how, at));
            break;
        case RunLine::Event::owner:
            if (line.how != said_.epoch && !owner_changed_) owner_changed_ = at;
            break;
        case RunLine::Event::accepted:
            break;
    }
}

bool Checker::is_surprise(const RunLine& line) const {
    switch (line.event) {
        case RunLine::Event::start:
            return !said_.jobs.contains(job_of(line.task));
        case RunLine::Event::end:
            return line.how == "failed";
        case RunLine::Event::job_ended:
            return line.how != "done";
        case RunLine::Event::owner:
            return line.how != said_.epoch;
        case RunLine::Event::accepted:
        case RunLine::Event::worker_over:
            return true;
    }
    return false;
}

void Checker::note_off(const std::string& task, const Began& began, Micros length) {
    auto found = ends_.find(task);
    const bool ended = found != ends_.end();
    const bool done = ended && found->second.how == "done";
    const Micros took = (ended ? found->second.at : covered_) - began.at;
    const bool as_said =
        done ? std::abs(took - length) <= settings_.within : ended || took <= length + settings_.within;
    if (as_said) return;
    const Micros at = began.at + std::min(took, length);
    off_[began.worker].push_back(at);
    off_jobs_[time_of(task)].emplace_back(at, task);
}

void Checker::miss(const std::string& task, const std::string& queue, std::string what, std::string cause) {
    ++result_.queues[queue].causes[cause];
    result_.misses.push_back({task, queue, std::move(what), std::move(cause)});
}

void Checker::check_task(const std::string& task, const Said::Task& said) {
    QueueCheck& queue = result_.queues[said.queue];
    auto began = starts_.find(task);
    bool started = began != starts_.end() && began->second.at <= covered_;
    bool lands = said.landing == Landing::lands;
    if (lands && said.at + settings_.within > covered_ && !started) {
        ++queue.not_covered;
        return;
    }
    std::string what;
    bool early = started && (!lands || began->second.at < said.at - settings_.within);
    if (!lands || said.at > 0) queue.waited.add(!early);
    if (early)
        what = lands ? fmt::format("started {:.2f} s early", double(said.at - began->second.at) / 1e6)
                     : fmt::format("started though said to {}",
                                   said.landing == Landing::nowhere ? "land nowhere" : "wait");
    if (lands) {
        bool there = started && began->second.worker == said.worker,
             on_time = started && std::abs(began->second.at - said.at) <= settings_.within;
        queue.worker.add(there), queue.time.add(on_time);
        if (said.at == 0) queue.worker_at_once.add(there);
        if (said.at < disturbed_) queue.undisturbed.add(there && on_time);
        if (!started)
            what = "did not start";
        else if (!there)
            what = fmt::format("started on {} instead of {}", began->second.worker, said.worker);
        else if (!on_time && !early)
            what = fmt::format("started {:.2f} s late", double(began->second.at - said.at) / 1e6);
    }
    if (what.empty()) return;
    std::vector<std::string> workers;
    if (!said.worker.empty()) workers.push_back(said.worker);
    if (started) workers.push_back(began->second.worker);
    Micros until = std::max(lands ? said.at : Micros(0), started ? began->second.at : covered_);
    miss(task, said.queue, std::move(what), cause(task, workers, until, early));
}

void Checker::check_pushed() {
    std::set<std::string> foretold;
    for (const Said::Pushed& pushed : said_.pushed) {
        foretold.insert(pushed.task);
        QueueCheck& queue = result_.queues[pushed.queue];
        if (pushed.at + settings_.within > covered_) {
            ++queue.not_covered;
            continue;
        }
        auto [first, last] = stops_.equal_range(pushed.task);
        bool good = std::any_of(
            first, last, [&](const auto& stop) { return std::abs(stop.second - pushed.at) <= settings_.within; });
        queue.pushed.add(good);
        if (!good)
            miss(pushed.task, pushed.queue, "was not pushed aside",
                 cause(pushed.task, {pushed.worker}, pushed.at + settings_.within));
    }
    for (const auto& [task, run] : said_.running) {
        auto stop = stops_.find(task);
        if (stop == stops_.end() || stop->second > covered_ || foretold.contains(task) ||
            jobs_ended_.contains(job_of(task)))
            continue;
        ++result_.queues[run.queue].pushed_unsaid;
        miss(task, run.queue, "was stopped though not said", cause(task, {run.worker}, stop->second));
    }
}

bool Checker::any_until(const std::map<std::string, std::vector<Micros>>& times, const std::string& key, Micros until) {
    auto found = times.find(key);
    return found != times.end() &&
           std::any_of(found->second.begin(), found->second.end(), [&](Micros at) { return at <= until; });
}

std::string Checker::cause(const std::string& task, const std::vector<std::string>& workers, Micros until,
                           bool early) const {
    const std::string job = job_of(task);
    const std::string time = time_of(task);
    if (auto ended = jobs_ended_.find(job);
        ended != jobs_ended_.end() && ended->second.first != "done" && ended->second.second <= until)
        return "job " + ended->second.first;
    if (said_.unheard > 0) return "workers not heard of";
    if (owner_changed_ && *owner_changed_ <= until) return "record changed hands";
    for (const std::string& worker : workers)
        if (auto over = over_.find(worker); over != over_.end() && over->second <= until) return "worker lost";
    // Who comes in takes room; it makes nobody start earlier.
    for (const std::string& worker : workers)
        if (!early && any_until(strangers_, worker, until)) return "new arrival";
    if (any_until(failed_jobs_, job, until)) return "a run failed";
    if (auto found = off_jobs_.find(time);
        found != off_jobs_.end() && std::any_of(found->second.begin(), found->second.end(), [&](const auto& each) {
            return each.first <= until && each.second != task;
        }))
        return "estimate off";
    for (const std::string& worker : workers) {
        if (any_until(failed_, worker, until)) return "a run failed";
        if (any_until(off_, worker, until)) return "estimate off";
    }
    for (const std::string& worker : workers)
        if (any_until(strays_, worker, until)) return "follows another miss";
    if (!over_.empty() && over_.begin()->second <= until) return "another worker lost";
    for (const auto& [worker, times] : strangers_)
        if (!early && any_until(strangers_, worker, until)) return "new arrival elsewhere";
    for (const auto& [worker, times] : off_)
        if (any_until(off_, worker, until)) return "estimate off elsewhere";
    return "unexplained";
}

}  // namespace calicostall
