#include "preview/check.hpp"

namespace calicostall {

Said read_preview(std::string_view text, const std::string& name, bool changed, Findings& findings) {
    Said said;
    boost::system::error_code error;
    boost::json::value whole = boost::json::parse(text, error);
    if (error || !whole.is_object())
        return findings.add(name, error ? "cannot be read as JSON: " + error.message() : "must be a table"), said;
    auto whole_number = [&](const boost::json::object& object, const std::string& place, const char* field,
                            std::optional<std::int64_t> otherwise = {}) -> std::int64_t {
        const auto* value = object.if_contains(field);
        if (!value && otherwise) return *otherwise;
        if (!value || !value->is_number())
            return findings.add(place + "." + field, value ? "must be a number" : "is missing"), 0;
        return value->to_number<std::int64_t>();
    };
    const boost::json::object& object = whole.as_object();
    std::int64_t format = whole_number(object, name, "preview");
    if (findings.empty() && format != preview_format)
        findings.add(name + ".preview", fmt::format("is {}, this program reads {}", format, preview_format));
    if (!findings.empty()) return said;
    said.wall = whole_number(object, name, "wall_us");
    said.epoch = std::to_string(whole_number(object, name, "epoch"));
    said.unheard = whole_number(object, name, "unheard", 0);
    FieldReader top(object, name, findings);
    if (const auto* jobs = top.list("jobs", true)) {
        for (const auto& job : *jobs) {
            if (job.is_string())
                said.jobs.emplace(job.as_string());
            else
                findings.add(name + ".jobs", "must hold texts");
        }
    }
    const char* part_name = changed ? "changed" : "stands";
    const boost::json::object* part = top.table(part_name, true);
    if (!part) return said;
    std::string at = name + "." + part_name;
    FieldReader reader(*part, at, findings);
    said.horizon = whole_number(*part, at, "horizon_us");
    auto each = [&](const char* list_name, auto see) {
        const auto* list = reader.list(list_name, true);
        for (size_t place = 0; list && place < list->size(); ++place) {
            std::string where = fmt::format("{}.{}[{}]", at, list_name, place);
            if (!(*list)[place].is_object())
                findings.add(where, "must be a table");
            else
                see((*list)[place].as_object(), where);
        }
    };
    each("queues", [&](const boost::json::object& one, const std::string& where) {
        FieldReader fields(one, where, findings);
        said.queues.emplace_back(fields.text("queue", true), whole_number(one, where, "priority"));
    });
    each("tasks", [&](const boost::json::object& one, const std::string& where) {
        FieldReader fields(one, where, findings);
        std::string task = fields.text("task", true), landing = fields.text("landing", true);
        Said::Task read{fields.text("queue", true), fields.text("worker", false), Landing::waits,
                        whole_number(one, where, "at_us", -1), whole_number(one, where, "ends_us", -1)};
        if (landing == "lands")
            read.landing = Landing::lands;
        else if (landing == "nowhere")
            read.landing = Landing::nowhere;
        else if (landing != "waits")
            findings.add(where + ".landing", fmt::format("'{}' is unknown", landing));
        if (!fields.flag("copy", false)) said.tasks[task] = std::move(read);
    });
    each("running", [&](const boost::json::object& one, const std::string& where) {
        FieldReader fields(one, where, findings);
        said.running[fields.text("task", true)] = {fields.text("queue", true), fields.text("worker", true),
                                                   whole_number(one, where, "ends_us", -1)};
    });
    each("pushed_aside", [&](const boost::json::object& one, const std::string& where) {
        FieldReader fields(one, where, findings);
        said.pushed.push_back({fields.text("queue", true), fields.text("task", true), fields.text("worker", true),
                               whole_number(one, where, "at_us")});
    });
    return said;
}

std::string Tally::text() const {
    return said ? fmt::format("{}/{} {:.0f}%", true_ones, said, 100 * double(true_ones) / double(said)) : "-";
}

QueueCheck& QueueCheck::operator+=(const QueueCheck& more) {
    priority = more.priority;
    worker += more.worker, worker_at_once += more.worker_at_once, time += more.time, waited += more.waited,
        pushed += more.pushed, undisturbed += more.undisturbed;
    not_covered += more.not_covered, pushed_unsaid += more.pushed_unsaid;
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
        Micros at = line->wall - said_.wall;
        std::string job = line->task.substr(0, line->task.find('.'));
        switch (line->event) {
            case RunLine::Event::start:
                starts_.try_emplace(line->task, Began{line->worker, at});
                if (!said_.jobs.contains(job)) strangers_[line->worker].push_back(at);
                break;
            case RunLine::Event::end:
                ends_.try_emplace(line->task, Ended{line->worker, line->how, at});
                if (line->how == "stopped") stops_.emplace(line->task, at);
                if (line->how == "failed") failed_[line->worker].push_back(at), failed_jobs_[job].push_back(at);
                break;
            case RunLine::Event::worker_over:
                over_.try_emplace(line->worker, at);
                break;
            case RunLine::Event::job_ended:
                jobs_ended_.try_emplace(line->task, std::pair(line->how, at));
                break;
            case RunLine::Event::owner:
                if (line->how != said_.epoch && !owner_changed_) owner_changed_ = at;
                break;
            case RunLine::Event::accepted:
                break;
        }
        bool surprise = (line->event == RunLine::Event::start && !said_.jobs.contains(job)) ||
                        line->event == RunLine::Event::accepted || line->event == RunLine::Event::worker_over ||
                        (line->event == RunLine::Event::end && line->how == "failed") ||
                        (line->event == RunLine::Event::job_ended && line->how != "done") ||
                        (line->event == RunLine::Event::owner && line->how != said_.epoch);
        if (surprise) disturbed_ = std::min(disturbed_, at);
    }
    // Runs that took longer or shorter than said: they give their room back at another time.
    auto note_off = [&](const std::string& task, const std::string& worker, Micros began, Micros length) {
        auto found = ends_.find(task);
        bool over = found != ends_.end() && found->second.how == "done";
        Micros took = (found != ends_.end() ? found->second.at : covered_) - began;
        if (over ? std::abs(took - length) <= settings_.within
                 : found != ends_.end() || took <= length + settings_.within)
            return;
        Micros at = began + std::min(took, length);
        off_[worker].push_back(at),
            off_jobs_[task.substr(0, task.rfind('.', task.rfind('.') - 1))].emplace_back(at, task);
    };
    for (const auto& [task, run] : said_.running)
        if (run.ends >= 0) note_off(task, run.worker, 0, run.ends);
    for (const auto& [task, each] : said_.tasks)
        if (auto began = starts_.find(task); each.ends >= 0 && began != starts_.end())
            note_off(task, began->second.worker, began->second.at, each.ends - each.at);
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
            jobs_ended_.contains(task.substr(0, task.find('.'))))
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
    std::string job = task.substr(0, task.find('.')), time = task.substr(0, task.rfind('.', task.rfind('.') - 1));
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

std::string check_text(const CheckResult& result, size_t misses_most) {
    if (!result.compared) return "the logs hold nothing of the time after the preview\n";
    std::string text = fmt::format("{:<32} {:>15} {:>15} {:>15} {:>15} {:>12} {:>11} {:>12}\n", "queue", "worker named",
                                   "undisturbed", "on time", "waited so", "pushed so", "unsaid", "not covered");
    std::vector<std::pair<std::string, QueueCheck>> rows(result.queues.begin(), result.queues.end());
    std::stable_sort(rows.begin(), rows.end(),
                     [](const auto& left, const auto& right) { return left.second.priority < right.second.priority; });
    QueueCheck sum;
    for (const auto& [name, each] : rows)
        sum += each;
    rows.emplace_back("all", sum);
    for (const auto& [name, each] : rows)
        text += fmt::format("{:<32} {:>15} {:>15} {:>15} {:>15} {:>12} {:>11} {:>12}\n", name, each.worker.text(),
                            each.undisturbed.text(), each.time.text(), each.waited.text(), each.pushed.text(),
                            each.pushed_unsaid, each.not_covered);
    text += fmt::format("\ncauses of the {} misses:", result.misses.size());
    for (const auto& [cause, count] : sum.causes)
        text += fmt::format(" {} {},", count, cause);
    if (text.back() == ',') text.pop_back();
    text += "\n";
    for (size_t place = 0; place < std::min(misses_most, result.misses.size()); ++place) {
        const Miss& miss = result.misses[place];
        text += fmt::format("  {} {} {}: {}\n", miss.queue, miss.task, miss.what, miss.cause);
    }
    if (result.misses.size() > misses_most)
        text += fmt::format("  and {} more; --json shows all\n", result.misses.size() - misses_most);
    return text;
}

boost::json::object check_json(const CheckResult& result) {
    using boost::json::object;
    boost::json::array queues, misses;
    auto share = [](const Tally& each) { return object{{"said", each.said}, {"true", each.true_ones}}; };
    for (const auto& [name, each] : result.queues) {
        object causes;
        for (const auto& [cause, count] : each.causes)
            causes[cause] = count;
        queues.push_back(object{{"queue", name},
                                {"priority", each.priority},
                                {"worker", share(each.worker)},
                                {"worker_at_once", share(each.worker_at_once)},
                                {"undisturbed", share(each.undisturbed)},
                                {"time", share(each.time)},
                                {"waited", share(each.waited)},
                                {"pushed", share(each.pushed)},
                                {"pushed_unsaid", each.pushed_unsaid},
                                {"not_covered", each.not_covered},
                                {"causes", std::move(causes)}});
    }
    for (const Miss& each : result.misses)
        misses.push_back(
            object{{"task", each.task}, {"queue", each.queue}, {"what", each.what}, {"cause", each.cause}});
    return object{{"compared", result.compared}, {"queues", std::move(queues)}, {"misses", std::move(misses)}};
}

}  // namespace calicostall
