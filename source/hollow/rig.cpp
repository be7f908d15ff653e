#include "hollow/rig.hpp"

#include <unistd.h>

namespace calicostall {

HollowLoop::Tally& HollowLoop::Tally::operator+=(const Tally& more) {
    return asks += more.asks, unanswered += more.unanswered, out += more.out, in += more.in, *this;
}

void HollowLoop::ask(Ask ask, Then then) {
    std::string_view rest = std::string_view(ask.url).substr(7);
    size_t mark = rest.find('/');
    std::string address(rest.substr(0, mark)), path(rest.substr(mark));
    if (auto found = workers_.find(address); found != workers_.end())
        return found->second(std::move(path), std::move(ask), std::move(then));
    std::string kind = path.starts_with("/team") ? "client " + ask.method : path;
    size_t out = fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\nContent-Type: {}\r\nContent-Length: {}\r\n\r\n", ask.method,
                             path, address, ask.form, ask.body.size())
                     .size() +
                 ask.body.size();
    Loop::ask(std::move(ask), [this, kind, out, then = std::move(then)](Answer answer) {
        {
            std::lock_guard guard(tally_lock_);
            tallies_[kind] += {1, answer.fate != Answer::Fate::answered, out,
                               answer.fate == Answer::Fate::answered ? answer.body.size() + answer_head : 0};
        }
        if (then) then(std::move(answer));
    });
}

void HollowLoop::add_tallies(std::map<std::string, Tally>& all) const {
    std::lock_guard guard(tally_lock_);
    for (const auto& [kind, tally] : tallies_)
        all[kind] += tally;
}

HollowFleet::HollowFleet(const Experiment& experiment, GangBoard& board)
    : experiment_(experiment), load_(experiment), board_(board) {}

void HollowFleet::open() {
    loop_.after(0, [this] { tick(); });
    std::thread([this] { loop_.run(); }).detach();
}

void HollowFleet::add(std::int64_t number, HollowWorker::Started started) {
    loop_.after(milliseconds(number % 500 * 2),
                [this, number, started = std::move(started)] { place(number, started); });
}

void HollowFleet::place(std::int64_t number, const HollowWorker::Started& started) {
    auto machine = std::make_unique<Machine>();
    Machine* mine = machine.get();
    mine->account = load_.account(number);
    mine->worker = std::make_unique<HollowWorker>(board_);
    mine->worker->started = started;
    loop_.place_worker(mine->account.address, [this, mine](std::string path, Ask ask, Loop::Then then) {
        serve(*mine, path, std::move(ask), std::move(then));
    });
    SideSettings settings;
    settings.machine.node = fmt::format("side-{}", number + 1);
    settings.machine.zone = mine->account.zone;
    settings.machine.seeds = experiment_.controls;
    settings.machine.first_port = int(experiment_.first_port);
    mine->side = std::make_unique<Side>(settings, loop_);
    mine->side->open();
    machines_.push_back(std::move(machine));
}

void HollowFleet::serve(Machine& machine, const std::string& path, Ask ask, Loop::Then then) {
    Micros now = steady_now();
    HollowWorker::Said said = machine.worker->take(path, ask.body, now);
    if (path == "/hold" && said.code == 200) {
        boost::json::value whole = boost::json::parse(ask.body);
        const auto* wait = whole.as_object().if_contains("wait_ms");
        std::uint64_t seen_at = whole.as_object().at("seen_at").to_number<std::uint64_t>();
        if (wait && !machine.worker->has_ends(seen_at)) {
            machine.waits.push_back({std::move(then), now + milliseconds(wait->to_number<std::int64_t>()), seen_at});
            return;
        }
    }
    answer(std::move(then), std::move(said));
}

void HollowFleet::answer(Loop::Then then, HollowWorker::Said said) {
    loop_.after(0, [then = std::move(then), said = std::move(said)] {
        if (then) then({Answer::Fate::answered, said.code, said.body});
    });
}

void HollowFleet::tick() {
    Micros now = steady_now();
    std::uint64_t all_starts = 0, all_done = 0, all_other = 0, all_running = 0;
    for (auto& each : machines_) {
        Machine& machine = *each;
        machine.worker->advance(now);
        for (size_t place = 0; place < machine.waits.size();) {
            Wait& wait = machine.waits[place];
            if (now < wait.until && !machine.worker->has_ends(wait.seen_at)) {
                ++place;
                continue;
            }
            answer(std::move(wait.then), machine.worker->listed(now));
            machine.waits.erase(machine.waits.begin() + std::ptrdiff_t(place));
        }
        if (now >= machine.beat_at) beat(machine, now);
        all_starts += machine.worker->starts();
        all_done += machine.worker->ends("done");
        for (const char* how : {"lapsed", "broken", "alone", "stopped"})
            all_other += machine.worker->ends(how);
        all_running += machine.worker->running();
    }
    starts = all_starts, done = all_done, other_ends = all_other, running = all_running;
    loop_.after(milliseconds(10), [this] { tick(); });
}

void HollowFleet::beat(Machine& machine, Micros now) {
    machine.beat_at = now + milliseconds(1500);
    boost::json::array labels;
    for (const std::string& label : machine.account.labels)
        labels.emplace_back(label);
    boost::json::object body{{"service", machine.account.service},
                             {"address", machine.account.address},
                             {"zone", machine.account.zone},
                             {"revision", "v1"},
                             {"slots", 8},
                             {"phase", "ready"},
                             {"cold_left_ms", 0},
                             {"capacity", boost::json::object{{"cpu", machine.account.cpu},
                                                              {"task_mem_mb", machine.account.memory},
                                                              {"gpu", machine.account.gpu}}},
                             {"labels", labels},
                             {"clock_ms", machine.worker->clock_ms(now)},
                             {"call_seq", ++machine.beats}};
    Request request;
    request.method = "PUT";
    request.path = "/workers/" + machine.account.life;
    request.body = boost::json::serialize(body);
    machine.side->take(std::move(request));
}

HollowCrowd::HollowCrowd(const Experiment& experiment) : experiment_(experiment), load_(experiment) {
    for (const std::string& control : experiment_.controls)
        replicas_.push_back(fmt::format("{}:{}", address_host(control), experiment_.first_port));
    locator_ =
        std::make_unique<Locator>(Locator::Settings{"hollow-clients", replicas_, 2, seconds(5), false}, loop_, [] {});
    for (std::int64_t front = 0; front < experiment_.hollow_fronts; ++front)
        fronts_.push_back(std::make_unique<Locator>(
            Locator::Settings{fmt::format("hollow-front-{}", front + 1), replicas_, 2, seconds(5), true}, loop_,
            [this] { note_revisions(); }));
}

void HollowCrowd::open() {
    locator_->open();
    for (auto& front : fronts_)
        front->open();
    loop_.after(0, [this] { tick(); });
    std::thread([this] { loop_.run(); }).detach();
}

void HollowCrowd::load(const HollowStep& step, bool on) {
    loop_.after(0, [this, step, on] {
        step_ = step;
        on_ = on;
        next_arrival_ = on ? load_.next_arrival(step, steady_now()) : 0;
        next_look_ = next_change_ = steady_now();
    });
}

void HollowCrowd::set_config(std::int64_t teams) {
    loop_.after(0, [this, teams] { teams_ = teams, change_config(); });
}

void HollowCrowd::submit_long(const HollowStep& step, std::int64_t tasks) {
    loop_.after(0, [this, step, tasks] { submit(step, tasks, seconds(3600)); });
}

void HollowCrowd::note_start(const std::string& task, Micros now) {
    std::pair<Micros, std::int64_t> sent;
    {
        std::lock_guard guard(lock_);
        auto found = sent_.find(task.substr(0, 16));
        if (found == sent_.end()) return;
        sent = found->second;
    }
    start_ms.add(double(now - sent.first) / 1000);
    if (sent.second == 0) urgent_start_ms.add(double(now - sent.first) / 1000);
}

void HollowCrowd::clear() {
    for (Samples* samples : {&accept_ms, &look_ms, &start_ms, &urgent_start_ms, &config_ack_ms, &config_everywhere_ms})
        samples->clear();
    jobs = accepted = refused = unanswered = changes = changes_refused = 0;
}

void HollowCrowd::tick() {
    Micros now = steady_now();
    if (on_) {
        while (next_arrival_ <= now)
            submit(step_, step_.tasks_per_job, step_.task_length),
                next_arrival_ = load_.next_arrival(step_, next_arrival_);
        for (; step_.looks_per_s > 0 && next_look_ <= now; next_look_ += Micros(1e6 / step_.looks_per_s))
            look();
        if (step_.changes_per_s > 0 && next_change_ <= now)
            next_change_ += Micros(1e6 / step_.changes_per_s), change_config();
    }
    loop_.after(milliseconds(5), [this] { tick(); });
}

void HollowCrowd::submit(const HollowStep& step, std::int64_t tasks, Micros length) {
    HollowLoad::Job job = load_.make(step, tasks, length);
    Micros now = steady_now();
    ++jobs;
    if (length < seconds(3600)) {
        std::lock_guard guard(lock_);
        sent_[job.id] = {now, HollowLoad::priority(job.team)};
    }
    recent_.push_back(job.path);
    if (recent_.size() > 1000) recent_.pop_front();
    call("POST", job.path, std::move(job.body), [this, now](int code) {
        if (code == 200)
            ++accepted, accept_ms.add(double(steady_now() - now) / 1000);
        else if (code == 0)
            ++unanswered;
        else
            ++refused;
    });
}

void HollowCrowd::look() {
    if (recent_.empty()) return;
    Micros now = steady_now();
    call("GET", recent_[load_.random() % recent_.size()], {}, [this, now](int code) {
        if (code == 200) look_ms.add(double(steady_now() - now) / 1000);
    });
}

void HollowCrowd::call(const char* method, const std::string& path, std::string body,
                       std::function<void(int)> on_code) {
    if (experiment_.through == HollowThrough::front) {
        const std::string& front = experiment_.fronts[load_.random() % experiment_.fronts.size()];
        return loop_.ask(
            {.method = method,
             .url = "http://" + front + path,
             .body = std::move(body),
             .form = "application/json",
             .headers = {fmt::format("Host: {}", HollowLoad::host)},
             .patience = seconds(3)},
            [on_code](Answer answer) { on_code(answer.fate == Answer::Fate::answered ? answer.code : 0); });
    }
    CallAsk ask{method, HollowLoad::host, path, std::move(body), {}, false};
    loop_.ask({.url = "http://" + locator_->target(0) + "/inner/call", .body = pack(ask), .patience = seconds(3)},
              [on_code](Answer answer) {
                  auto frame = answer.good() ? unpack<CallAnswer>(answer.body) : std::nullopt;
                  on_code(frame && frame->fate == CallFate::settled ? int(frame->code) : 0);
              });
}

void HollowCrowd::change_config() {
    if (changing_) return;
    changing_ = true;
    send_config(revision + 1, HollowLoad::config(revision + 1, std::max<std::int64_t>(teams_, 1)), steady_now(), 0);
}

void HollowCrowd::send_config(std::uint64_t next, std::string text, Micros begun, size_t tries) {
    std::string url = "http://" + experiment_.controls[tries % experiment_.controls.size()] + "/config";
    loop_.ask({.method = "PUT",
               .url = url,
               .body = text,
               .form = "application/json",
               .headers = {fmt::format("If-Match: {}", next - 1)},
               .patience = seconds(1)},
              [this, next, text, begun, tries](Answer answer) {
                  if (answer.good()) {
                      changing_ = false;
                      ++changes;
                      revision = next;
                      sent_revisions_[next] = begun;
                      config_ack_ms.add(double(steady_now() - begun) / 1000);
                      return note_revisions();
                  }
                  ++changes_refused;
                  loop_.after(milliseconds(200),
                              [this, next, text, begun, tries] { send_config(next, text, begun, tries + 1); });
              });
}

void HollowCrowd::note_revisions() {
    std::uint64_t lowest = ~std::uint64_t(0);
    for (auto& front : fronts_)
        lowest = std::min(lowest, front->revision());
    if (fronts_.empty()) return;
    while (!sent_revisions_.empty() && sent_revisions_.begin()->first <= lowest) {
        config_everywhere_ms.add(double(steady_now() - sent_revisions_.begin()->second) / 1000);
        sent_revisions_.erase(sent_revisions_.begin());
    }
    lacking = sent_revisions_.size();
}

DaemonProbe DaemonProbe::read(const std::string& folder, const std::string& name, const std::string& address) {
    DaemonProbe probe{name, address};
    probe.pid = std::atoll(read_file(folder + "/" + name + ".pid").value_or("0").c_str());
    if (probe.pid > 0) probe.use = read_use(probe.pid);
    probe.counters = read_counters(read_file(folder + "/" + name + ".log").value_or(""));
    return probe;
}

boost::json::object step_json(const HollowStep& step) {
    return {{"workers", step.workers},
            {"starts_per_s", step.starts_per_s},
            {"running", step.running},
            {"gang", step.gang},
            {"tasks_per_job", step.tasks_per_job},
            {"teams", step.teams},
            {"changes_per_s", step.changes_per_s},
            {"looks_per_s", step.looks_per_s},
            {"task_ms", step.task_length / 1000},
            {"warm_s", double(step.warm) / 1e6},
            {"length_s", double(step.length) / 1e6}};
}

HollowRig::HollowRig(const Experiment& experiment, std::string folder, std::string commit, std::FILE* out)
    : experiment_(experiment), folder_(std::move(folder)), commit_(std::move(commit)), out_(out) {}

Findings HollowRig::run() {
    if (experiment_.through == HollowThrough::inside) return run_inside();
    return run_daemons();
}

Findings HollowRig::run_inside() {
    InsideRun inside(experiment_);
    for (const HollowStep& step : experiment_.steps) {
        InsideRun::Result result = inside.play(step);
        boost::json::object parts;
        for (const auto& [part, cpu] : result.cpu_by_part)
            parts[part] = cpu / result.clock_s;
        double starts = std::max(1.0, double(result.starts));
        write({{"name", experiment_.name},
               {"commit", commit_},
               {"through", "inside"},
               {"seed", experiment_.seed},
               {"step", step_json(step)},
               {"reached", boost::json::object{{"starts_per_s", double(result.starts) / result.clock_s},
                                               {"done_per_s", double(result.done) / result.clock_s},
                                               {"other_ends", result.other_ends},
                                               {"running", result.running},
                                               {"jobs", result.jobs},
                                               {"jobs_refused", result.jobs_refused},
                                               {"clock_s", result.clock_s}}},
               {"cpu_share", result.cpu_s / result.clock_s},
               {"cpu_us_per_start", result.cpu_s / starts * 1e6},
               {"cpu_by_part", std::move(parts)},
               {"proposals_per_start", double(result.proposals) / starts},
               {"proposal_bytes_per_start", double(result.proposal_bytes) / starts},
               {"proposal_bytes_per_s", double(result.proposal_bytes) / result.clock_s},
               {"report_bytes_per_s", double(result.report_bytes) / result.clock_s},
               {"order_bytes_per_s", double(result.order_bytes) / result.clock_s},
               {"side_asks_per_s", double(result.side_asks) / result.clock_s},
               {"tick_ms", inside.tick_ms.json()},
               {"start_ms", inside.start_ms.json()},
               {"urgent_start_ms", inside.urgent_start_ms.json()},
               {"memory_mb", read_use(getpid()).memory_mb}});
    }
    return {};
}

Findings HollowRig::run_daemons() {
    Findings findings;
    crowd_ = std::make_unique<HollowCrowd>(experiment_);
    for (std::int64_t thread = 0; thread < experiment_.threads; ++thread)
        fleets_.push_back(std::make_unique<HollowFleet>(experiment_, board_));
    for (auto& fleet : fleets_)
        fleet->open();
    crowd_->open();
    std::int64_t teams = 1, workers = 0, long_tasks = 0;
    for (const HollowStep& step : experiment_.steps)
        teams = std::max(teams, step.teams);
    crowd_->set_config(teams);
    if (!wait(seconds(20), [&] { return crowd_->revision > 0; })) {
        findings.add("controls", "no configuration was acknowledged within 20 s");
        return findings;
    }
    for (const HollowStep& step : experiment_.steps) {
        for (; workers < step.workers; ++workers)
            fleets_[size_t(workers) % fleets_.size()]->add(
                workers, [this](const std::string& task, Micros now) { crowd_->note_start(task, now); });
        wait(seconds(2), [] { return false; });
        while (long_tasks < step.running) {
            std::int64_t tasks =
                std::max(step.gang, std::min<std::int64_t>(step.running - long_tasks, 200) / step.gang * step.gang);
            long_tasks += tasks;
            crowd_->submit_long(step, tasks);
            wait(milliseconds(100), [] { return false; });
        }
        bool filled = wait(seconds(60), [&] { return double(running()) >= 0.98 * double(step.running); });
        crowd_->load(step, true);
        wait(step.warm, [] { return false; });
        crowd_->clear();
        Moment before = look();
        wait(step.length, [] { return false; });
        Moment after = look();
        report(step, filled, before, after);
        crowd_->load(step, false);
        wait(seconds(2), [] { return false; });
    }
    return findings;
}

std::uint64_t HollowRig::running() const {
    std::uint64_t all = 0;
    for (const auto& fleet : fleets_)
        all += fleet->running;
    return all;
}

HollowRig::Moment HollowRig::look() const {
    Moment moment;
    for (const auto& fleet : fleets_) {
        fleet->loop().add_tallies(moment.tallies);
        moment.starts += fleet->starts, moment.done += fleet->done, moment.other_ends += fleet->other_ends,
            moment.running += fleet->running;
    }
    crowd_->loop().add_tallies(moment.tallies);
    for (size_t place = 0; place < experiment_.controls.size(); ++place)
        moment.daemons.push_back(
            DaemonProbe::read(folder_, fmt::format("control-{}", place + 1), experiment_.controls[place]));
    for (size_t place = 0; place < experiment_.fronts.size(); ++place)
        moment.daemons.push_back(
            DaemonProbe::read(folder_, fmt::format("front-{}", place + 1), experiment_.fronts[place]));
    moment.own_cpu_s = read_use(getpid()).cpu_s;
    moment.at = steady_now();
    return moment;
}

boost::json::object HollowRig::daemon_json(const DaemonProbe& before, const DaemonProbe& after, double passed) {
    boost::json::object rates;
    double logged = after.counters.at_s - before.counters.at_s;
    for (const auto& [name, count] : after.counters.table) {
        auto earlier = before.counters.table.find(name);
        if (logged > 0) rates[name] = (count - (earlier == before.counters.table.end() ? 0 : earlier->second)) / logged;
    }
    return {{"name", after.name},
            {"found", after.use.found},
            {"cpu_share", (after.use.cpu_s - before.use.cpu_s) / passed},
            {"memory_mb", after.use.memory_mb},
            {"peak_mb", after.use.peak_mb},
            {"descriptors", after.use.descriptors},
            {"disk_bytes_per_s", double(after.use.disk_bytes - before.use.disk_bytes) / passed},
            {"counters_per_s", std::move(rates)}};
}

void HollowRig::report(const HollowStep& step, bool filled, const Moment& before, const Moment& after) {
    double passed = double(after.at - before.at) / 1e6;
    std::string owner = address_host(crowd_->owner());
    boost::json::object line{{"name", experiment_.name},
                             {"commit", commit_},
                             {"through", experiment_.through == HollowThrough::front ? "front" : "control"},
                             {"seed", experiment_.seed},
                             {"step", step_json(step)}};
    line["reached"] = boost::json::object{{"starts_per_s", double(after.starts - before.starts) / passed},
                                          {"done_per_s", double(after.done - before.done) / passed},
                                          {"other_ends", after.other_ends - before.other_ends},
                                          {"running", after.running},
                                          {"filled", filled},
                                          {"jobs", crowd_->jobs.load()},
                                          {"accepted", crowd_->accepted.load()},
                                          {"refused", crowd_->refused.load()},
                                          {"unanswered", crowd_->unanswered.load()},
                                          {"changes", crowd_->changes.load()},
                                          {"changes_again", crowd_->changes_refused.load()},
                                          {"changes_not_everywhere", crowd_->lacking.load()},
                                          {"seconds", passed}};
    boost::json::array others, fronts;
    for (size_t place = 0; place < after.daemons.size(); ++place) {
        boost::json::object one = daemon_json(before.daemons[place], after.daemons[place], passed);
        if (after.daemons[place].name.starts_with("front"))
            fronts.push_back(std::move(one));
        else if (address_host(after.daemons[place].address) == owner)
            line["owner"] = std::move(one);
        else
            others.push_back(std::move(one));
    }
    auto mean = [&](const boost::json::array& all, const char* name) {
        double sum = 0;
        for (const auto& each : all)
            sum += number_at(each, name).value_or(0);
        return all.empty() ? 0 : sum / double(all.size());
    };
    line["others_mean"] = boost::json::object{{"cpu_share", mean(others, "cpu_share")},
                                              {"memory_mb", mean(others, "memory_mb")},
                                              {"descriptors", mean(others, "descriptors")},
                                              {"disk_bytes_per_s", mean(others, "disk_bytes_per_s")}};
    line["front_mean"] = boost::json::object{{"cpu_share", mean(fronts, "cpu_share")},
                                             {"memory_mb", mean(fronts, "memory_mb")},
                                             {"descriptors", mean(fronts, "descriptors")}};
    line["others"] = std::move(others);
    line["fronts"] = std::move(fronts);
    boost::json::object kinds;
    double out = 0, in = 0;
    for (const auto& [kind, tally] : after.tallies) {
        HollowLoop::Tally earlier;
        if (auto found = before.tallies.find(kind); found != before.tallies.end()) earlier = found->second;
        kinds[kind] = boost::json::object{{"asks_per_s", double(tally.asks - earlier.asks) / passed},
                                          {"unanswered", tally.unanswered - earlier.unanswered},
                                          {"out_bytes_per_s", double(tally.out - earlier.out) / passed},
                                          {"in_bytes_per_s", double(tally.in - earlier.in) / passed}};
        out += double(tally.out - earlier.out) / passed, in += double(tally.in - earlier.in) / passed;
    }
    line["kinds"] = std::move(kinds);
    line["all_kinds"] = boost::json::object{{"out_bytes_per_s", out}, {"in_bytes_per_s", in}};
    for (auto [name, samples] : {std::pair{"accept_ms", &crowd_->accept_ms},
                                 {"look_ms", &crowd_->look_ms},
                                 {"start_ms", &crowd_->start_ms},
                                 {"urgent_start_ms", &crowd_->urgent_start_ms},
                                 {"config_ack_ms", &crowd_->config_ack_ms},
                                 {"config_everywhere_ms", &crowd_->config_everywhere_ms}})
        line[name] = samples->json();
    line["own_cpu_share"] = (after.own_cpu_s - before.own_cpu_s) / passed;
    write(std::move(line));
}

void HollowRig::write(boost::json::object line) {
    fmt::print(out_, "{}\n", boost::json::serialize(line));
    std::fflush(out_);
}

Findings prepare_daemons(const Experiment& experiment, const std::string& folder) {
    Findings findings;
    boost::json::array seeds;
    for (const std::string& control : experiment.controls)
        seeds.emplace_back(control);
    auto write = [&](const std::string& name, const std::string& address, bool control) {
        std::string ip = address_host(address);
        boost::json::object binds;
        if (control)
            binds["control"] = address;
        else
            binds["front"] = address, binds["readiness"] = ip + ":8167";
        boost::json::object settings{
            {"node_name", name},
            {"role", control ? "control" : "front"},
            {"ip", ip},
            {"zone", "zone-1"},
            {"bind_addrs", std::move(binds)},
            {"port_range", boost::json::array{experiment.first_port, experiment.first_port + 15}},
            {"seeds", seeds},
            {"bootstrap", true},
            {"quorum_member", control},
            {"limits", boost::json::object{{"disk_mb", 2048}, {"memory_mb", 4096}, {"max_fds", 20000}}}};
        if (control) settings["data_dir"] = folder + "/" + name;
        std::ofstream stream(folder + "/" + name + ".json");
        stream << boost::json::serialize(settings) << "\n";
        if (!stream.flush()) findings.add(folder, "cannot be written");
    };
    for (size_t place = 0; place < experiment.controls.size(); ++place)
        write(fmt::format("control-{}", place + 1), experiment.controls[place], true);
    for (size_t place = 0; place < experiment.fronts.size(); ++place)
        write(fmt::format("front-{}", place + 1), experiment.fronts[place], false);
    return findings;
}

Slope fit_results(const std::string& text, const std::string& over, const std::string& of, Findings& findings) {
    std::vector<std::pair<double, double>> points;
    std::istringstream stream(text);
    std::string line;
    for (size_t number = 1; std::getline(stream, line); ++number) {
        boost::system::error_code error;
        boost::json::value whole = boost::json::parse(line, error);
        if (error) {
            findings.add(fmt::format("line {}", number), "cannot be read as JSON");
            continue;
        }
        auto x = number_at(whole, over), y = number_at(whole, of);
        if (!x)
            findings.add(fmt::format("line {}", number), fmt::format("has no number at {}", over));
        else if (!y)
            findings.add(fmt::format("line {}", number), fmt::format("has no number at {}", of));
        else
            points.emplace_back(*x, *y);
    }
    if (points.size() < 2 && findings.empty()) findings.add("results", "need at least two lines");
    return fit_slope(points);
}

}  // namespace calicostall
