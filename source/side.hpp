// The role `side`: the agent of the worker on its machine; what it knows is gone with its process.
#pragma once
#include "common.hpp"
#include "front.hpp"
#include "shared/http/listener.hpp"
#include "shared/http/loop.hpp"
#include "shared/news/locator.hpp"
#include "shared/news/pace.hpp"
#include "shared/settings/settings.hpp"
#include "shared/wire/frames.hpp"

namespace calicostall {

struct SideSettings {
    Settings machine;
    Micros ask_patience = milliseconds(1700);
    Micros order_patience = milliseconds(200);
    Micros look_wait = milliseconds(700);
    Micros look_slack = milliseconds(250);  // beyond the wait, until a look counts as unanswered
    // After a call without an answer looks are short for a while: a lost one hides the ends that came meanwhile.
    Micros wary_for = seconds(6), wary_wait = milliseconds(200), wary_slack = milliseconds(150);
    size_t silent_after = 3;           // looks without an answer in a row
    Micros gather = milliseconds(15);  // between the end that a look showed and the next look
    Micros unseen_wait = milliseconds(300);
    size_t attempts_most = 4;  // of one start without an answer
};

class Side {
public:
    Side(SideSettings settings, Loop& loop)
        : settings_(std::move(settings)),
          loop_(loop),
          locator_({settings_.machine.node, settings_.machine.seed_replicas(), 2, seconds(5), false}, loop,
                   [this] { take_news(); }) {
        std::random_device device;
        incarnation_ = (std::uint64_t(device()) << 31 | device()) | 1;
    }
    // Without an address for the worker's calls none is opened: they come by `take`.
    Findings open() {
        Findings findings;
        if (!settings_.machine.control.empty()) try {
                control_ =
                    std::make_unique<Listener>(settings_.machine.control, Listener::Limits{.body_bytes = 4 << 20},
                                               [this](Request request) { take(std::move(request)); });
                control_->open();
            } catch (const std::exception& error) {
                findings.add("bind_addrs.control", fmt::format("{}: {}", settings_.machine.control, error.what()));
            }
        locator_.open();
        loop_.after(milliseconds(100), [this] { tick(); });
        return findings;
    }
    void leave(std::function<void()> then) {
        log_line("side", "leaving");
        loop_.after(milliseconds(200), std::move(then));
    }
    void take_settings(const Settings& machine) { locator_.add_seeds(machine.seed_replicas()); }

    // Calls of the worker, by the table: PUT /workers/ID, DELETE /workers/ID.
    // Example: side.take({.method = "PUT", .path = "/workers/i-7f3a", .body = beat});
    void take(Request request) {
        constexpr std::string_view prefix = "/workers/";
        if (!std::string_view(request.path).starts_with(prefix)) return request.reply.send(Response::plain(404));
        std::string life = request.path.substr(prefix.size());
        if (request.method == "PUT") return take_beat(life, std::move(request));
        if (request.method == "DELETE") return take_leave(life, std::move(request));
        request.reply.send(Response::plain(405));
    }

private:
    using RunKey = std::pair<std::string, std::uint32_t>;
    struct Pending {
        Order order;
        size_t sends = 0;   // of this order
        bool open = false;  // a send got no answer: it may be done yet
        bool flying = false;
        Micros next_at = 0;
    };

    // --- calls of the worker ---

    void take_beat(const std::string& life, Request request) {
        Findings findings;
        boost::system::error_code error;
        boost::json::value whole = boost::json::parse(request.body, error);
        if (error || !whole.is_object()) {
            counters().add("beats_unreadable");
            return request.reply.send(Response::plain(400));
        }
        FieldReader reader(whole.as_object(), "", findings);
        WorkerAccount account;
        account.life = life;
        account.service = reader.text("service", true);
        account.address = reader.text("address", true);
        account.zone = reader.text("zone", false);
        account.draining = reader.text("phase", false) == "draining";
        if (const auto* table = reader.table("capacity", false)) {
            FieldReader inner(*table, "capacity", findings);
            account.cpu = std::int64_t(inner.number("cpu", 0));
            account.memory = std::int64_t(inner.number("task_mem_mb", 0));
            account.gpu = std::int64_t(inner.number("gpu", 0));
        }
        if (const auto* list = reader.list("labels", false))
            for (const auto& label : *list)
                if (label.is_string()) account.labels.emplace_back(label.as_string());
        double leaves = reader.number("leaves_at_ms", -1.0);
        Micros now = steady_now();
        std::uint64_t sequence = std::uint64_t(reader.number("call_seq", 0));
        Micros clock = Micros(reader.number("clock_ms", 0) * 1000);
        if (!findings.empty()) {
            log_line("side", "beat refused: {}", findings.text());
            return request.reply.send(Response::json(400, "{}"));
        }
        {
            std::lock_guard guard(lock_);
            if (std::find(over_.begin(), over_.end(), life) != over_.end() ||
                (worker_ && worker_->life == life && sequence < beat_sequence_)) {
                counters().add("beats_late");
            } else {
                bool fresh = !worker_ || worker_->life != life;
                if (fresh) begin_life(life);
                if (clock > 0) note_clock(clock, now);
                if (leaves >= 0 && whole.as_object().contains("leaves_at_ms"))
                    account.leaves_in = Micros(leaves * 1000);
                bool news = fresh || account.draining != worker_->draining;
                leaves_at_ = account.leaves_in < 0 ? -1 : now + account.leaves_in;
                if (!same_account(*worker_, account)) ++account_mark_;
                worker_ = std::move(account);
                beat_sequence_ = sequence;
                beat_at_ = now;
                if (fresh) log_line("side", "worker {} of {} at {}", worker_->life, worker_->service, worker_->address);
                if (news) ask_owner(Haste::urgent);
            }
        }
        request.reply.send(Response::json(200, "{}"));
    }
    void take_leave(const std::string& life, Request request) {
        {
            std::lock_guard guard(lock_);
            if (worker_ && worker_->life == life) {
                log_line("side", "worker {} has left", life);
                end_life();
                ask_owner(Haste::urgent);
            }
        }
        request.reply.send(Response::plain(200));
    }
    void begin_life(const std::string& life) {
        if (worker_) end_life();
        worker_.emplace().life = life;
    }
    // But for `leaves_in`, which each ask tells.
    static bool same_account(WorkerAccount left, const WorkerAccount& right) {
        left.leaves_in = right.leaves_in;
        return left == right;
    }
    void end_life() {
        over_.push_back(worker_->life);
        if (over_.size() > 16) over_.pop_front();
        worker_.reset();
        clear_orders();
        active_ = 0;
        seen_ = highest_end_ = era_ = 0;
        allowed_until_ = 0;
        clock_base_.reset();
        silent_ = false;
        look_errors_ = 0;
        report_.reset();
        beat_sequence_ = 0;
        fence_shown_ = Epoch{};
    }
    void clear_orders() {
        pending_.clear();
        stops_.clear();
        results_.clear();
    }

    // --- clocks and holds ---

    void note_clock(Micros worker_clock, Micros now) { clock_base_ = std::pair(worker_clock, now); }
    // The latest time on the worker's clock up to which the owner allows holds; 0 when there is none.
    std::int64_t until_ms(Micros now) const {
        if (!clock_base_ || allowed_until_ <= now + milliseconds(20)) return 0;
        Micros until = clock_base_->first + (allowed_until_ - clock_base_->second);
        Micros most = clock_base_->first + (now - clock_base_->second) + settings_.machine.hold_most;
        return std::min(until, most) / 1000;
    }

    // --- the owner ---

    void take_news() {
        std::lock_guard guard(lock_);
        if (locator_.epoch() > epoch_ && locator_.epoch() > news_epoch_) {
            // Asks that wait at an earlier owner are given up: the new one is to hear from here at once.
            news_epoch_ = locator_.epoch();
            ++ask_generation_;
            asks_flying_ = 0;
            ask_tries_ = ask_choice_ = 0;
            pacer_.reset();
            account_told_ = 0;
            ask_owner(Haste::urgent);
        }
    }
    // One ask always waits at the owner; a second one carries what cannot wait for its answer.
    void ask_owner(Haste haste) {
        Micros now = steady_now();
        Micros due = pacer_.due(haste, asks_flying_);
        if (now < due) {
            ask_wanted_ = std::max(ask_wanted_, haste);
            if (due == AskPacer::never || ask_timed_) return;
            ask_timed_ = true;
            loop_.after(due - now, [this] {
                std::lock_guard guard(lock_);
                ask_timed_ = false;
                ask_owner(ask_wanted_);
            });
            return;
        }
        ask_wanted_ = Haste::resting;
        pacer_.asked(now);
        SideAsk ask;
        ask.node = settings_.machine.node;
        ask.incarnation = incarnation_;
        ask.number = ++ask_number_;
        ask.epoch = epoch_;
        ask.taken = taken_;
        ask.seen = seen_;
        ask.silent = silent_;
        ask.leaves_in = leaves_at_ < 0 ? -1 : std::max<Micros>(0, leaves_at_ - now);
        std::uint64_t account_mark = worker_ ? account_mark_ : 0;
        ask.account_mark = account_mark;
        if (worker_ && account_mark != account_told_) {
            ask.worker = worker_;
            ask.worker->leaves_in = ask.leaves_in;
        }
        ask.over.assign(over_.begin(), over_.end());
        ask.report = report_;
        ask.results = results_;
        for (OrderResult& result : ask.results)
            result.ago = now - result.ago;  // kept as a moment, sent as an age
        std::uint64_t report_mark = report_mark_;
        size_t results_sent = results_.size();
        std::uint64_t results_mark = results_dropped_ + results_sent;
        ++asks_flying_;
        std::string target = locator_.target(ask_choice_);
        std::uint64_t number = ask.number, generation = ask_generation_;
        loop_.ask({.url = "http://" + target + "/inner/side", .body = pack(ask), .patience = settings_.ask_patience},
                  [this, number, generation, now, report_mark, results_mark, account_mark](Answer answer) {
                      std::lock_guard guard(lock_);
                      if (generation != ask_generation_) return;
                      --asks_flying_;
                      auto frame = answer.good() ? unpack<SideAnswer>(answer.body) : std::nullopt;
                      if (frame && !frame->spread_specs()) frame.reset();
                      if (frame && frame->whole) {
                          account_told_ = 0;
                          counters().add("asks_again_whole");
                          return ask_owner(Haste::urgent);
                      }
                      Micros moment = steady_now();
                      if (!frame || !frame->served) {
                          // An owner that has just been elected answers so for a moment; silence is a reason to go
                          // elsewhere.
                          bool heard = frame.has_value();
                          ++ask_tries_;
                          if (!heard || ask_tries_ % 8 == 0) ++ask_choice_;
                          counters().add("asks_unserved");
                          locator_.hurry();
                          account_told_ = 0;
                          pacer_.answered(moment,
                                          milliseconds(std::min<std::int64_t>(20 * std::int64_t(ask_tries_), 300)));
                          return ask_owner(report_ || !results_.empty() ? Haste::pressing : Haste::resting);
                      }
                      ask_tries_ = ask_choice_ = 0;
                      pacer_.answered(moment, std::clamp<Micros>(frame->pause, 0, seconds(1)));
                      account_told_ = account_mark;
                      if (report_mark == report_mark_) report_.reset();
                      while (results_dropped_ < results_mark && !results_.empty())
                          results_.erase(results_.begin()), ++results_dropped_;
                      take_answer(number, now, *frame);
                      ask_owner(ask_wanted_);
                  });
    }
    void take_answer(std::uint64_t number, Micros asked_at, const SideAnswer& answer) {
        if (answer.epoch < epoch_ || number < answered_) return;
        answered_ = number;
        if (answer.epoch > epoch_) {
            // A new owner: the orders of the old one are void, and the worker is to learn the new fence first.
            epoch_ = answer.epoch;
            taken_ = 0;
            era_ = 0;
            allowed_until_ = 0;
            clear_orders();
            report_.reset();
            ++report_mark_;
        }
        if (!worker_ || answer.life != worker_->life) return;
        if (answer.era != era_) {
            if (era_ != 0) clear_orders();
            if (era_ != 0) allowed_until_ = 0;
            era_ = answer.era;
        }
        if (answer.allowance > 0) allowed_until_ = std::max(allowed_until_, asked_at + answer.allowance);
        seen_ = std::max(seen_, answer.seen);
        for (const Order& order : answer.orders) {
            if (order.number <= taken_ || order.life != worker_->life) continue;
            taken_ = order.number;
            take_order(order);
        }
        if (answer.look || fence_shown_ < epoch_) look(0);
        work(steady_now());
    }
    void take_order(const Order& order) {
        RunKey key{order.task, order.run};
        if (order.kind == OrderKind::start) {
            if (stops_.contains(key)) return;
            Pending& pending = pending_[key];
            pending.order = order;
            pending.next_at = 0;
        } else {
            pending_.erase(key);
            Pending& pending = stops_[key];
            pending.order = order;
            pending.next_at = 0;
        }
    }
    void add_result(const Order& order, OrderFate fate, std::string reason) {
        results_.push_back({order.number, fate, order.task, order.run, std::move(reason), steady_now()});
        if (fate != OrderFate::started) ask_owner(Haste::pressing);
    }

    // --- the worker ---

    void tick() {
        std::lock_guard guard(lock_);
        Micros now = steady_now();
        if (asks_flying_ == 0 && ask_tries_ == 0) ask_owner(Haste::resting);
        work(now);
        if (now - counted_at_ > seconds(5)) {
            counted_at_ = now;
            std::string text = counters().changed_text();
            if (!text.empty()) log_line("counters", "{}", text);
        }
        loop_.after(milliseconds(pending_.empty() && stops_.empty() && active_ == 0 ? 200 : 50), [this] { tick(); });
    }
    void work(Micros now) {
        if (!worker_) return;
        for (auto& [key, pending] : stops_)
            if (!pending.flying && now >= pending.next_at) send_stop(key, pending);
        if (fence_shown_ < epoch_) {
            if (!looking_ && now >= next_look_) look(0);
            return;
        }
        std::vector<RunKey> refused;
        for (auto& [key, pending] : pending_) {
            if (pending.flying || now < pending.next_at) continue;
            if (worker_->draining) {
                refused.push_back(key);
                continue;
            }
            if (until_ms(now) == 0) continue;
            send_start(key, pending, now);
        }
        for (const RunKey& key : refused) {
            Order order = pending_[key].order;
            bool open = pending_[key].open;
            pending_.erase(key);
            add_result(order, open ? OrderFate::doubtful : OrderFate::turned_away, "draining");
        }
        if (looking_ || now < next_look_) return;
        if (active_ > 0 || any_open())
            look(highest_end_ > seen_ && now - ended_at_ < settings_.unseen_wait ? -1 : settings_.look_wait);
    }
    bool any_open() const {
        return std::any_of(pending_.begin(), pending_.end(), [](const auto& each) { return each.second.sends > 0; });
    }
    void send_start(const RunKey& key, Pending& pending, Micros now) {
        pending.flying = true;
        ++pending.sends;
        boost::json::object body{{"task", pending.order.task},
                                 {"run_id", pending.order.run},
                                 {"job_spec", pending.order.spec},
                                 {"until_ms", until_ms(now)},
                                 {"fence", epoch_.value}};
        if (!pending.order.saved.empty()) body["checkpoint"] = pending.order.saved;
        std::string life = worker_->life;
        Epoch epoch = epoch_;
        std::uint64_t era = era_;
        counters().add("starts_sent");
        loop_.ask({.url = "http://" + worker_->address + "/run-start",
                   .body = boost::json::serialize(body),
                   .form = "application/json",
                   .headers = {"X-Expected-Worker: " + life},
                   .patience = settings_.order_patience},
                  [this, key, life, epoch, era](Answer answer) {
                      std::lock_guard guard(lock_);
                      if (!worker_ || worker_->life != life) return;
                      Micros moment = steady_now();
                      std::string reason = read_clock(answer, moment);
                      if (epoch != epoch_ || era != era_) return;
                      auto found = pending_.find(key);
                      if (found == pending_.end()) {
                          if (answer.good()) active_ = std::max<size_t>(active_, 1);
                          return;
                      }
                      Pending& mine = found->second;
                      mine.flying = false;
                      if (answer.good()) {
                          ++active_;
                          Order order = mine.order;
                          pending_.erase(found);
                          add_result(order, OrderFate::started, {});
                          return work(moment);
                      }
                      if (answer.fate != Answer::Fate::answered) {
                          mine.open = mine.open || answer.fate == Answer::Fate::unknown;
                          mine.next_at = moment + milliseconds(60);
                          wary_until_ = moment + settings_.wary_for;
                          counters().add("starts_unanswered");
                          if (mine.sends < settings_.attempts_most) return;
                          reason = "silence";
                      }
                      if (answer.code == 421 || reason == "fence") {
                          mine.next_at = moment + milliseconds(200);
                          if (mine.sends < settings_.attempts_most) return;
                      }
                      if (reason == "late" && mine.sends < settings_.attempts_most) {
                          mine.next_at = moment + milliseconds(30);
                          return;
                      }
                      Order order = mine.order;
                      bool open = mine.open;
                      pending_.erase(found);
                      add_result(order, open ? OrderFate::doubtful : OrderFate::turned_away,
                                 reason.empty() ? fmt::format("{}", answer.code) : reason);
                  });
    }
    void send_stop(const RunKey& key, Pending& pending) {
        pending.flying = true;
        ++pending.sends;
        boost::json::object body{{"task", pending.order.task}, {"run_id", pending.order.run}, {"fence", epoch_.value}};
        std::string life = worker_->life;
        Epoch epoch = epoch_;
        counters().add("stops_sent");
        loop_.ask({.url = "http://" + worker_->address + "/run-stop",
                   .body = boost::json::serialize(body),
                   .form = "application/json",
                   .headers = {"X-Expected-Worker: " + life},
                   .patience = settings_.order_patience},
                  [this, key, life, epoch](Answer answer) {
                      std::lock_guard guard(lock_);
                      if (!worker_ || worker_->life != life || epoch != epoch_) return;
                      Micros moment = steady_now();
                      read_clock(answer, moment);
                      auto found = stops_.find(key);
                      if (found == stops_.end()) return;
                      found->second.flying = false;
                      found->second.next_at = moment + milliseconds(200);
                      if (answer.fate == Answer::Fate::answered && answer.code < 300) {
                          stops_.erase(found);
                          stopped_.push_back(fmt::format("{} {}", key.first, key.second));
                          look(0);
                      }
                  });
    }
    std::string read_clock(const Answer& answer, Micros now) {
        if (answer.fate != Answer::Fate::answered || answer.body.empty()) return {};
        boost::system::error_code error;
        boost::json::value whole = boost::json::parse(answer.body, error);
        if (error || !whole.is_object()) return {};
        const auto& object = whole.as_object();
        if (const auto* clock = object.if_contains("clock_ms"); clock && clock->is_number())
            note_clock(Micros(clock->to_number<double>() * 1000), now);
        const auto* reason = object.if_contains("reason");
        return reason && reason->is_string() ? std::string(reason->as_string()) : std::string();
    }
    // Asks the worker what runs and what ended; wait < 0: not now.
    void look(Micros wait) {
        if (!worker_ || wait < 0) return;
        Micros now = steady_now();
        if (looking_ && (wait > 0 || looking_short_)) {
            if (wait == 0) look_again_ = true;
            return;
        }
        bool is_short = wait == 0;
        (is_short ? looking_short_ : looking_) = true;
        boost::json::object body{{"fence", epoch_.value}, {"seen_at", seen_}};
        std::int64_t until = until_ms(now);
        if (silent_) wait = 0;
        if (until > 0 && !silent_) {
            body["until_ms"] = until;
            wait = std::min<Micros>(wait, std::max<Micros>(milliseconds(100), (allowed_until_ - now) / 2));
        }
        if (now < wary_until_) wait = std::min(wait, settings_.wary_wait);
        if (wait > 0) body["wait_ms"] = wait / 1000;
        std::string life = worker_->life;
        Epoch epoch = epoch_;
        std::vector<std::string> stopped = stopped_;
        counters().add("looks");
        loop_.ask(
            {.url = "http://" + worker_->address + "/hold",
             .body = boost::json::serialize(body),
             .form = "application/json",
             .headers = {"X-Expected-Worker: " + life},
             .patience = wait + (now < wary_until_ ? settings_.wary_slack : settings_.look_slack)},
            [this, life, epoch, is_short, stopped](Answer answer) {
                std::lock_guard guard(lock_);
                (is_short ? looking_short_ : looking_) = false;
                if (!worker_ || worker_->life != life) return;
                Micros moment = steady_now();
                bool read = answer.good() && take_look(answer, epoch, stopped, moment);
                if (!read) {
                    counters().add("looks_without_answer");
                    next_look_ = moment + milliseconds(20);
                    after_gap_ = true;
                    if (answer.fate != Answer::Fate::answered) wary_until_ = moment + settings_.wary_for;
                    if (answer.fate != Answer::Fate::answered && ++look_errors_ >= settings_.silent_after && !silent_) {
                        silent_ = true;
                        log_line("side", "worker {} does not answer", life);
                        ask_owner(Haste::urgent);
                    }
                    if (silent_) next_look_ = moment + milliseconds(300);
                } else {
                    look_errors_ = 0;
                    if (silent_) {
                        silent_ = false;
                        ask_owner(Haste::urgent);
                    }
                }
                if (look_again_ && read) {
                    look_again_ = false;
                    look(0);
                }
                work(moment);
            });
    }
    bool take_look(const Answer& answer, Epoch epoch, const std::vector<std::string>& stopped, Micros now) {
        boost::system::error_code error;
        boost::json::value whole = boost::json::parse(answer.body, error);
        if (error || !whole.is_object()) return false;
        const auto& object = whole.as_object();
        if (const auto* clock = object.if_contains("clock_ms"); clock && clock->is_number())
            note_clock(Micros(clock->to_number<double>() * 1000), now);
        HoldReport report;
        report.life = worker_->life;
        report.fence = epoch;
        const auto* active = object.if_contains("active");
        const auto* finished = object.if_contains("finished");
        if (!active || !active->is_array() || !finished || !finished->is_array()) return false;
        for (const auto& each : active->as_array()) {
            if (!each.is_array() || each.as_array().size() < 4) return false;
            const auto& row = each.as_array();
            if (!row[0].is_string() || !row[1].is_number()) return false;
            report.active.push_back({std::string(row[0].as_string()), row[1].to_number<std::uint32_t>(),
                                     row[2].is_string() ? std::string(row[2].as_string()) : "",
                                     row[3].is_number() ? std::int64_t(row[3].to_number<double>()) : 0});
        }
        std::uint64_t highest = highest_end_;
        for (const auto& each : finished->as_array()) {
            if (!each.is_array() || each.as_array().size() < 5) return false;
            const auto& row = each.as_array();
            if (!row[0].is_number() || !row[1].is_string() || !row[2].is_number() || !row[3].is_string()) return false;
            report.finished.push_back({row[0].to_number<std::uint64_t>(), std::string(row[1].as_string()),
                                       row[2].to_number<std::uint32_t>(), std::string(row[3].as_string()),
                                       row[4].is_string() ? std::string(row[4].as_string()) : ""});
            highest = std::max(highest, report.finished.back().number);
        }
        bool ends = highest > highest_end_ || !report.finished.empty();
        highest_end_ = highest;
        active_ = report.active.size();
        if (ends) {
            ended_at_ = now;
            next_look_ = now + settings_.gather;
        }
        if (epoch != epoch_) return true;
        bool first = fence_shown_ < epoch;
        fence_shown_ = epoch;
        report.stops = stopped;
        report.after_gap = after_gap_ || (report_ && report_->after_gap);
        after_gap_ = false;
        std::erase_if(stopped_, [&](const std::string& each) {
            return std::find(stopped.begin(), stopped.end(), each) != stopped.end();
        });
        if (report_) report.stops.insert(report.stops.end(), report_->stops.begin(), report_->stops.end());
        report_ = std::move(report);
        ++report_mark_;
        ask_owner(first                                                                       ? Haste::urgent
                  : ends || !report_->stops.empty() || now - reported_at_ > milliseconds(900) ? Haste::pressing
                                                                                              : Haste::resting);
        reported_at_ = now;
        return true;
    }

    SideSettings settings_;
    Loop& loop_;
    std::recursive_mutex lock_;
    Locator locator_;
    std::unique_ptr<Listener> control_;
    std::uint64_t incarnation_ = 0;
    std::optional<WorkerAccount> worker_;
    std::deque<std::string> over_;
    std::uint64_t beat_sequence_ = 0;
    Micros beat_at_ = 0, leaves_at_ = -1;
    std::optional<std::pair<Micros, Micros>> clock_base_;
    Micros allowed_until_ = 0;
    Epoch epoch_, fence_shown_;
    std::uint64_t era_ = 0, taken_ = 0, seen_ = 0, highest_end_ = 0;
    std::uint64_t ask_number_ = 0, answered_ = 0;
    size_t asks_flying_ = 0, ask_tries_ = 0, ask_choice_ = 0;
    Epoch news_epoch_;
    std::uint64_t ask_generation_ = 0;
    Haste ask_wanted_ = Haste::resting;
    bool ask_timed_ = false;
    AskPacer pacer_;
    std::uint64_t account_mark_ = 0, account_told_ = 0;  // told: to the owner that answered last
    std::map<RunKey, Pending> pending_, stops_;
    std::vector<std::string> stopped_;
    std::vector<OrderResult> results_;
    std::uint64_t results_dropped_ = 0, report_mark_ = 0;
    std::optional<HoldReport> report_;
    size_t active_ = 0;
    bool looking_ = false, looking_short_ = false, look_again_ = false, silent_ = false;
    size_t look_errors_ = 0;
    bool after_gap_ = false;
    Micros wary_until_ = 0;
    Micros next_look_ = 0, ended_at_ = 0, reported_at_ = 0, counted_at_ = 0;
};

}  // namespace calicostall
