// The worker's calls: beats, leaving, and the lives that they show.
#include "shared/record/log.hpp"
#include "shared/time/clock.hpp"
#include "side/side.hpp"

namespace calicostall {

namespace {

constexpr size_t ended_lives_most = 16;

// But for `leaves_in`, which each ask at the owner carries anew.
bool same_account(WorkerAccount left, const WorkerAccount& right) {
    left.leaves_in = right.leaves_in;
    return left == right;
}

}  // namespace

void Side::take(Request request) {
    constexpr std::string_view prefix = "/workers/";
    if (!std::string_view(request.path).starts_with(prefix)) return request.reply.send(Response::plain(404));
    std::string life = request.path.substr(prefix.size());
    if (request.method == "PUT") return take_beat(life, std::move(request));
    if (request.method == "DELETE") return take_leave(life, std::move(request));
    request.reply.send(Response::plain(405));
}

void Side::take_beat(const std::string& life, Request request) {
    Findings findings;
    std::optional<WorkerBeat> beat = parse_beat(life, request.body, findings);
    if (!beat) {
        counters().add("beats_unreadable");
        return request.reply.send(Response::plain(400));
    }
    if (!findings.empty()) {
        log_line("side", "beat refused: {}", findings.text());
        return request.reply.send(Response::json(400, "{}"));
    }
    {
        std::lock_guard guard(lock_);
        note_beat(std::move(*beat), steady_now());
    }
    request.reply.send(Response::json(200, "{}"));
}

void Side::note_beat(WorkerBeat beat, Micros now) {
    const std::string& life = beat.account.life;
    bool ended = std::find(ended_lives_.begin(), ended_lives_.end(), life) != ended_lives_.end();
    bool known = worker_ && worker_->life == life;
    if (ended || (known && beat.sequence < beat_sequence_)) {
        counters().add("beats_late");
        return;
    }
    if (!known) begin_life(life);
    if (beat.clock > 0) note_clock(beat.clock, now);
    leaves_at_ = beat.account.leaves_in < 0 ? -1 : now + beat.account.leaves_in;
    bool urgent = !known || beat.account.draining != worker_->draining;
    if (!same_account(*worker_, beat.account)) ++account_mark_;
    worker_ = std::move(beat.account);
    beat_sequence_ = beat.sequence;
    if (!known) log_line("side", "worker {} of {} at {}", worker_->life, worker_->service, worker_->address);
    if (urgent) ask_owner(Haste::urgent);
}

void Side::take_leave(const std::string& life, Request request) {
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

void Side::begin_life(const std::string& life) {
    if (worker_) end_life();
    worker_.emplace().life = life;
}

void Side::end_life() {
    ended_lives_.push_back(worker_->life);
    if (ended_lives_.size() > ended_lives_most) ended_lives_.pop_front();
    worker_.reset();
    clear_orders();
    active_ = 0;
    seen_ = highest_end_ = era_ = 0;
    allowed_until_ = 0;
    clock_base_.reset();
    silent_ = false;
    poll_errors_ = 0;
    answer_timeout_.reset();
    report_.reset();
    beat_sequence_ = 0;
    fence_shown_ = Epoch{};
}

}  // namespace calicostall
