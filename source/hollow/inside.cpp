#include "hollow/inside.hpp"

#include <ctime>

namespace calicostall {

double thread_cpu_s() {
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return double(time.tv_sec) + double(time.tv_nsec) / 1e9;
}

void InstantLedger::propose(const std::string& key, std::optional<std::string> fixed, Patch patch,
                            std::function<void(bool)> then) {
    ++proposals;
    bytes += key.size() + (fixed ? fixed->size() : 0) + patch.moving.size();
    for (const Part& part : patch.parts)
        bytes += pack(part).size();
    if (then) callbacks.push_back(std::move(then));
}

void InstantLedger::confirm(const std::string&, std::function<void(bool)> then) {
    if (then) callbacks.push_back(std::move(then));
}

void InstantLedger::settle() {
    while (!callbacks.empty()) {
        auto then = std::move(callbacks.front());
        callbacks.pop_front();
        then(true);
    }
}

InsideRun::InsideRun(const Experiment& experiment)
    : experiment_(experiment), load_(experiment), scheduler_(SchedulerSettings{}, ledger_) {
    scheduler_.begin(Epoch{1}, {}, now_);
    CallAsk ask{"PUT", {}, "/config", HollowLoad::config(1, 64), "0", false};
    scheduler_.put_config(ask, [](CallFate, Response) {});
    ledger_.settle();
}

InsideRun::Result InsideRun::play(const HollowStep& step) {
    while (std::int64_t(machines_.size()) < step.workers)
        add_machine();
    for (Micros until = now_ + milliseconds(500); now_ < until;)
        round(nullptr);
    while (long_tasks_ < step.running) {
        std::int64_t tasks =
            std::max(step.gang, std::min<std::int64_t>(step.running - long_tasks_, 200) / step.gang * step.gang);
        long_tasks_ += tasks;
        submit(step, tasks, seconds(3600));
        for (int more = 0; more < 5; ++more)
            round(nullptr);
    }
    for (Micros until = now_ + seconds(60); now_ < until && std::int64_t(running()) < step.running;)
        round(nullptr);
    next_arrival_ = load_.next_arrival(step, now_);
    for (Micros until = now_ + step.warm; now_ < until;)
        round(&step);
    Result before = totals();
    start_ms.clear(), urgent_start_ms.clear(), tick_ms.clear();
    parts_.clear();
    for (Micros until = now_ + step.length; now_ < until;)
        round(&step);
    Result after = totals();
    after.clock_s -= before.clock_s;
    for (auto field :
         {&Result::starts, &Result::done, &Result::other_ends, &Result::jobs, &Result::jobs_refused, &Result::proposals,
          &Result::proposal_bytes, &Result::order_bytes, &Result::report_bytes, &Result::side_asks})
        after.*field -= before.*field;
    after.cpu_by_part = parts_;
    for (const auto& [part, cpu] : parts_)
        after.cpu_s += cpu;
    return after;
}

size_t InsideRun::running() const {
    size_t all = 0;
    for (const auto& machine : machines_)
        all += machine.worker->running();
    return all;
}

InsideRun::Result InsideRun::totals() const {
    Result all = sums_;
    for (const auto& machine : machines_) {
        all.starts += machine.worker->starts();
        all.done += machine.worker->ends("done");
        for (const char* how : {"lapsed", "broken", "alone", "stopped"})
            all.other_ends += machine.worker->ends(how);
    }
    all.running = running();
    all.clock_s = double(now_) / 1e6;
    all.proposals = ledger_.proposals;
    all.proposal_bytes = ledger_.bytes;
    return all;
}

void InsideRun::add_machine() {
    Machine machine;
    machine.account = load_.account(std::int64_t(machines_.size()));
    machine.node = fmt::format("side-{}", machines_.size() + 1);
    machine.worker = std::make_unique<HollowWorker>(board_);
    machine.worker->started = [this](const std::string& task, Micros now) { note_start(task, now); };
    machine.ask_at = now_ + Micros(load_.random() % 400000);
    places_[machine.node] = machines_.size();
    machines_.push_back(std::move(machine));
}

void InsideRun::note_start(const std::string& task, Micros now) {
    auto sent = sent_.find(task.substr(0, 16));
    if (sent == sent_.end()) return;
    start_ms.add(double(now - sent->second.first) / 1000);
    if (sent->second.second == 0) urgent_start_ms.add(double(now - sent->second.first) / 1000);
}

void InsideRun::submit(const HollowStep& step, std::int64_t tasks, Micros length) {
    HollowLoad::Job job = load_.make(step, tasks, length);
    if (length < seconds(3600)) sent_[job.id] = {now_, HollowLoad::priority(job.team)};
    ++sums_.jobs;
    CallAsk ask{"POST", job.host, job.path, std::move(job.body), {}, false};
    charge("calls", [&] {
        scheduler_.call(ask, now_, wall(), [this](CallFate fate, Response response) {
            sums_.jobs_refused += fate != CallFate::settled || response.code != 200;
        });
        ledger_.settle();
    });
}

void InsideRun::round(const HollowStep* step) {
    now_ += milliseconds(2);
    if (experiment_.cpu_share > 0) now_ += Micros(owed_ / experiment_.cpu_share * 1e6);
    owed_ = 0;
    while (step && next_arrival_ <= now_) {
        submit(*step, step->tasks_per_job, step->task_length);
        next_arrival_ = load_.next_arrival(*step, next_arrival_);
    }
    for (Machine& machine : machines_) {
        machine.worker->advance(now_);
        if (now_ >= machine.ask_at || machine.look || machine.worker->has_ends(machine.ends_shown))
            send_report(machine);
    }
    double took = charge("tick", [&] {
        scheduler_.tick(now_, wall(), now_);
        ledger_.settle();
    });
    tick_ms.add(took * 1000);
    std::vector<Machine*> with_news;
    charge("news", [&] {
        for (const std::string& node : scheduler_.take_sides_with_news()) {
            Machine& machine = machines_[places_.at(node)];
            if (scheduler_.has_news(node, machine.epoch, machine.taken, machine.seen)) with_news.push_back(&machine);
        }
    });
    for (Machine* machine : with_news)
        hear(*machine);
}

void InsideRun::send_report(Machine& machine) {
    SideAsk ask;
    ask.node = machine.node;
    ask.incarnation = 1;
    ask.number = ++machine.number;
    ask.epoch = machine.epoch;
    ask.taken = machine.taken;
    ask.seen = machine.seen;
    ask.worker = machine.account;
    ask.results.swap(machine.results);
    if (machine.epoch.value != 0) {
        ask.report = machine.worker->report(now_);
        ask.report->life = machine.account.life;
        ask.report->fence = machine.epoch;
        ask.report->stops.swap(machine.stops);
        if (!ask.report->finished.empty()) machine.ends_shown = ask.report->finished.back().number;
    }
    std::string packed = pack(ask);
    sums_.report_bytes += packed.size();
    ++sums_.side_asks;
    charge("reports", [&] {
        auto read = unpack<SideAsk>(packed);
        scheduler_.take_side(*read, now_, wall());
        ledger_.settle();
    });
    machine.look = false;
    machine.ask_at = now_ + seconds(1);
    hear(machine);
}

void InsideRun::hear(Machine& machine) {
    std::string packed;
    charge("orders", [&] { packed = pack(scheduler_.answer_side(machine.node, now_, now_)); });
    auto answer = unpack<SideAnswer>(packed);
    sums_.order_bytes += packed.size();
    if (answer->life != machine.account.life) return;
    if (answer->epoch > machine.epoch) machine.look = true;
    machine.epoch = answer->epoch;
    machine.look = machine.look || answer->look;
    machine.seen = std::max(machine.seen, answer->seen);
    std::int64_t until = machine.worker->clock_ms(now_ + answer->allowance);
    if (answer->allowance > 0)
        machine.worker->take(
            "/hold",
            fmt::format("{{\"fence\":{},\"seen_at\":{},\"until_ms\":{}}}", machine.epoch.value, machine.seen, until),
            now_);
    for (const Order& order : answer->orders) {
        if (order.number <= machine.taken) continue;
        machine.taken = order.number;
        boost::json::object body{{"task", order.task},
                                 {"run_id", order.run},
                                 {"fence", machine.epoch.value},
                                 {"until_ms", until},
                                 {"job_spec", order.spec}};
        bool starts = order.kind == OrderKind::start;
        auto said = machine.worker->take(starts ? "/run-start" : "/run-stop", boost::json::serialize(body), now_);
        if (starts)
            machine.results.push_back({order.number,
                                       said.code == 200 ? OrderFate::started : OrderFate::turned_away,
                                       order.task,
                                       order.run,
                                       {},
                                       0});
        else
            machine.stops.push_back(fmt::format("{} {}", order.task, order.run)), machine.look = true;
    }
}

}  // namespace calicostall
