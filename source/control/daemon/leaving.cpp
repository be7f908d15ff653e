// A planned stop: what this daemon holds is elsewhere before it goes, and the others hear of it.
#include "control/daemon/control.hpp"

namespace calicostall {

void Control::leave(std::function<void()> done) {
    std::lock_guard guard(lock_);
    if (departure_.is_leaving()) return;
    const Micros now = steady_now();
    log_line("control", "leaving");
    on_left_ = std::move(done);
    departure_.begin(now + settings_.election.leave_timeout);
    election_.begin_leaving(now);
    if (!place_) departure_.note_handed_over();
    turn();
    prepare_departure();
}

// Until it may go: an owner hands over by its turns, a follower asks the owner.
void Control::prepare_departure() {
    std::lock_guard guard(lock_);
    if (left_) return;
    if (departure_.is_due(steady_now())) return announce_departure();
    auto owner = other_owner_address();
    if (!owner_.acting() && owner) return ask_to_leave(*owner);
    loop_.after(settings_.leave_interval, [this] { prepare_departure(); });
}

void Control::ask_to_leave(const std::string& owner) {
    loop_.ask({.url = "http://" + owner + "/inner/leave",
               .body = pack(LeaveAsk{replica_.identity, departure_.epoch, departure_.sequence}),
               .patience = settings_.leave_request_timeout},
              [this, phase = departure_.phase()](Answer answer) {
                  std::lock_guard guard(lock_);
                  auto frame = answer.good() ? unpack<LeaveAnswer>(answer.body) : std::nullopt;
                  const bool level = frame && frame->level;
                  if (frame && departure_.phase() == phase) {
                      departure_.epoch = frame->epoch, departure_.sequence = frame->sequence;
                      departure_.note_answer(level);
                  }
                  if (level) return prepare_departure();
                  loop_.after(settings_.leave_interval, [this] { prepare_departure(); });
              });
}

void Control::announce_departure() {
    left_ = true;
    log_line("control", "goes, {}",
             departure_.phase() == Departure::Phase::settled ? "all it holds is elsewhere" : "its time is up");
    owner_.give_up();
    if (scheduler_epoch_.value != 0) end_ownership();
    for (size_t place = 0; place < core_.members.size(); ++place)
        if (std::optional(place) != place_) send_heartbeat(place, true);
    answer_all_waiting();
    loop_.after(settings_.leave_pause, std::move(on_left_));
}

void Control::receive_leave(Request request) {
    auto ask = unpack<LeaveAsk>(request.body);
    if (!ask) return refuse_frame(request.reply);
    LeaveAnswer answer;
    {
        std::lock_guard guard(lock_);
        if (acting()) answer = answer_leave(owner_, *ask);
    }
    request.reply.send(Response::cbor(pack(answer)));
}

}  // namespace calicostall
