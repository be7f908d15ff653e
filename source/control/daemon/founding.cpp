// Founding: carries the messages of `Founding` and keeps what it decides on the disk.
#include "control/daemon/control.hpp"

namespace calicostall {

namespace {

// Until the answer to an ask counts as lost.
constexpr Micros found_timeout = milliseconds(300);

}  // namespace

void Control::begin_founding() {
    const Settings& machine = settings_.machine;
    founding_.emplace(FoundingSettings{.control = machine.control,
                                       .address = own_address_,
                                       .seeds = machine.seeds,
                                       .first_start = machine.first_start,
                                       .counted = machine.counted},
                      replica_);
    keep_founding(founding_->open(), [] {});
}

bool Control::is_founding() const {
    return founding_->state() == FoundingState::asking;
}

// `done` is called, on the disk's thread, once the change is on the disk; `Founding` learns it on the loop.
void Control::keep_founding(Change change, std::function<void()> done) {
    for (const std::string& line : founding_->take_log())
        log_line("control", "{}", line);
    if (change.empty()) return disk_.put(std::move(change), std::move(done));
    disk_.put(std::move(change), [this, done = std::move(done), mark = founding_->change_mark()] {
        done();
        loop_.after(0, [this, mark] {
            std::lock_guard guard(lock_);
            founding_->note_durable(mark);
            turn();
        });
    });
}

void Control::send_founding_messages(Micros now) {
    for (FoundMessage& message : founding_->pump(now)) {
        const std::string address =
            message.replica.empty() ? settings_.machine.replica_address(message.to) : message.replica;
        loop_.ask({.url = "http://" + address + "/inner/found", .body = pack(message.ask), .patience = found_timeout},
                  [this, to = message.to](Answer answer) {
                      auto frame = answer.good() ? unpack<FoundAnswer>(answer.body) : std::nullopt;
                      std::lock_guard guard(lock_);
                      keep_founding(founding_->take(to, frame ? &*frame : nullptr, steady_now()), [] {});
                      turn();
                  });
    }
}

void Control::handle_found(const FoundAsk& ask, std::function<void(FoundAnswer)> respond) {
    auto [answer, change] = founding_->serve(ask, steady_now());
    keep_founding(std::move(change), [respond = std::move(respond), answer = std::move(answer)] { respond(answer); });
}

void Control::note_core_at_work() {
    keep_founding(founding_->note_core_at_work(steady_now()), [] {});
}

}  // namespace calicostall
