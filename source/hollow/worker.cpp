#include "hollow/worker.hpp"

namespace calicostall {

HollowSpec HollowSpec::read(const std::string& text) {
    HollowSpec spec;
    auto number = [&](const char* name) -> std::optional<std::int64_t> {
        size_t mark = text.find(name);
        if (mark == std::string::npos) return std::nullopt;
        return std::atoll(text.c_str() + mark + std::string_view(name).size());
    };
    if (auto length = number(" ms=")) spec.length = milliseconds(std::max<std::int64_t>(0, *length));
    if (auto gang = number(" gang=")) spec.gang = std::uint32_t(std::max<std::int64_t>(1, *gang));
    return spec;
}

std::string HollowSpec::text(size_t bytes) const {
    std::string all = fmt::format("hollow ms={} gang={} ", length / 1000, gang);
    if (all.size() < bytes) all.append(bytes - all.size(), 'x');
    return all;
}

void GangBoard::join(const std::string& gang, std::uint32_t size, Micros now) {
    std::lock_guard guard(lock_);
    Gang& mine = gangs_[gang];
    ++mine.members;
    if (++mine.present == size && !mine.broken) mine.begun = now;
}

void GangBoard::leave(const std::string& gang, bool whole) {
    std::lock_guard guard(lock_);
    auto found = gangs_.find(gang);
    if (found == gangs_.end()) return;
    if (!whole) found->second.broken = true;
    --found->second.present;
    if (--found->second.members == 0) gangs_.erase(found);
}

Micros GangBoard::begun(const std::string& gang) const {
    std::lock_guard guard(lock_);
    auto found = gangs_.find(gang);
    return found == gangs_.end() ? -1 : found->second.begun;
}

bool GangBoard::broken(const std::string& gang) const {
    std::lock_guard guard(lock_);
    auto found = gangs_.find(gang);
    return found != gangs_.end() && found->second.broken;
}

std::uint64_t HollowWorker::ends(const std::string& how) const {
    auto found = ends_.find(how);
    return found == ends_.end() ? 0 : found->second;
}

HollowWorker::Said HollowWorker::take(std::string_view path, const std::string& body, Micros now) {
    advance(now);
    boost::system::error_code error;
    boost::json::value whole = boost::json::parse(body, error);
    if (error || !whole.is_object()) return {400, {}};
    const boost::json::object& object = whole.as_object();
    std::uint64_t fence = number(object, "fence");
    if (fence < fence_) return {409, fmt::format("{{\"clock_ms\":{},\"reason\":\"fence\"}}", clock_ms(now))};
    fence_ = fence;
    if (path == "/run-start") return start(object, now);
    if (path == "/run-stop") return stop(object, now);
    if (path != "/hold") return {404, {}};
    std::uint64_t seen_at = number(object, "seen_at");
    while (!finished_.empty() && finished_.front().number <= seen_at)
        finished_.pop_front();
    extend(object);
    return listed(now);
}

HoldReport HollowWorker::report(Micros now) const {
    HoldReport report;
    report.fence = Epoch{fence_};
    for (const auto& [name, task] : tasks_) {
        Micros begun = task.begun(board_);
        std::int64_t percent =
            begun < 0 || task.spec.length == 0 ? 0 : std::min<std::int64_t>(99, 100 * (now - begun) / task.spec.length);
        report.active.push_back({name, task.run, {}, percent});
    }
    for (const End& end : finished_) {
        if (report.finished.size() == 500) break;
        report.finished.push_back({end.number, end.task, end.run, end.how, {}});
    }
    return report;
}

HollowWorker::Said HollowWorker::listed(Micros now) const {
    HoldReport all = report(now);
    std::string body = fmt::format("{{\"clock_ms\":{},\"active\":[", clock_ms(now));
    const char* comma = "";
    for (const ActiveRun& run : all.active)
        body += fmt::format("{}[\"{}\",{},\"\",{}]", std::exchange(comma, ","), run.task, run.run, run.percent);
    body += "],\"finished\":[";
    comma = "";
    for (const FinishedRun& run : all.finished)
        body += fmt::format("{}[{},\"{}\",{},\"{}\",\"\"]", std::exchange(comma, ","), run.number, run.task, run.run,
                            run.how);
    return {200, body + "]}"};
}

void HollowWorker::advance(Micros now) {
    if (!tasks_.empty() && until_ms_ > 0 && clock_ms(now) >= until_ms_) {
        while (!tasks_.empty())
            end(tasks_.begin(), "lapsed");
        return;
    }
    if (now < next_) return;
    next_ = std::numeric_limits<Micros>::max();
    for (auto task = tasks_.begin(); task != tasks_.end();) {
        auto next = std::next(task);
        Task& mine = task->second;
        Micros begun = mine.begun(board_);
        if (!mine.gang.empty() && board_.broken(mine.gang))
            end(task, "broken");
        else if (begun < 0 && now - mine.since >= gang_wait_)
            end(task, "alone");
        else if (begun >= 0 && now - begun >= mine.spec.length)
            end(task, "done");
        else if (begun < 0)
            next_ = std::min(next_, now + milliseconds(2));
        else
            next_ = std::min(next_, mine.gang.empty() ? begun + mine.spec.length
                                                      : std::min(begun + mine.spec.length, now + milliseconds(20)));
        task = next;
    }
}

std::uint64_t HollowWorker::number(const boost::json::object& object, std::string_view name) {
    const auto* value = object.if_contains(name);
    return value && value->is_number() ? std::uint64_t(std::max(0.0, value->to_number<double>())) : 0;
}

std::string HollowWorker::text(const boost::json::object& object, std::string_view name) {
    const auto* value = object.if_contains(name);
    return value && value->is_string() ? std::string(value->as_string()) : std::string();
}

void HollowWorker::extend(const boost::json::object& object) {
    until_ms_ = std::max(until_ms_, std::int64_t(number(object, "until_ms")));
}

HollowWorker::Said HollowWorker::refuse(const char* reason, Micros now) const {
    return {409, fmt::format("{{\"clock_ms\":{},\"reason\":\"{}\"}}", clock_ms(now), reason)};
}

HollowWorker::Said HollowWorker::start(const boost::json::object& object, Micros now) {
    std::string name = text(object, "task");
    std::uint32_t run = std::uint32_t(number(object, "run_id"));
    if (name.empty() || run == 0) return {400, {}};
    if (std::int64_t(number(object, "until_ms")) <= clock_ms(now)) return refuse("late", now);
    extend(object);
    Said good{200, fmt::format("{{\"clock_ms\":{}}}", clock_ms(now))};
    auto found = tasks_.find(name);
    if (found != tasks_.end()) return found->second.run == run ? good : refuse("old", now);
    if (auto over = over_.find(name); over != over_.end() && run <= over->second) return refuse("old", now);
    Task task{run, HollowSpec::read(text(object, "job_spec")), {}, now};
    if (task.spec.gang > 1) {
        task.gang = fmt::format("{} {}", name.substr(0, name.rfind('.')), run);
        board_.join(task.gang, task.spec.gang, now);
        next_ = 0;
    } else {
        next_ = std::min(next_, now + task.spec.length);
    }
    tasks_.emplace(name, std::move(task));
    ++starts_;
    if (started) started(name, now);
    return good;
}

HollowWorker::Said HollowWorker::stop(const boost::json::object& object, Micros now) {
    std::string name = text(object, "task");
    std::uint32_t run = std::uint32_t(number(object, "run_id"));
    if (auto found = tasks_.find(name); found != tasks_.end() && found->second.run == run)
        end(found, "stopped");
    else
        note_over(name, run);
    return {200, fmt::format("{{\"clock_ms\":{}}}", clock_ms(now))};
}

void HollowWorker::note_over(const std::string& name, std::uint32_t run) {
    std::uint32_t& highest = over_[name];
    highest = std::max(highest, run);
    over_order_.push_back(name);
    if (over_order_.size() > 4000) over_.erase(over_order_.front()), over_order_.pop_front();
}

void HollowWorker::end(std::map<std::string, Task>::iterator task, const char* how) {
    if (!task->second.gang.empty()) board_.leave(task->second.gang, std::string_view(how) == "done");
    finished_.push_back({++last_end_, task->first, task->second.run, how});
    note_over(task->first, task->second.run);
    ++ends_[how];
    tasks_.erase(task);
}

}  // namespace calicostall
