// How often the sides ask their owner: the owner sets the pause, each side keeps to it.
#pragma once
#include "common.hpp"

namespace calicostall {

struct PaceSettings {
    Micros lateness_free = milliseconds(10);  // of the owner's own turns: so much is no strain
    std::int64_t per_lateness = 2;            // what is later than that counts so many times
    Micros most = milliseconds(200);
};

// The pause of each side between an answer and its next ask, by the owner's own lateness. An owner in time asks for
// none, however many sides there are: a pause comes upon each wave of a job, and costs its client more than the owner.
// Example: ask_pause({}, milliseconds(30)) == milliseconds(40), ask_pause({}, milliseconds(2)) == 0
inline Micros ask_pause(const PaceSettings& settings, Micros lateness) {
    return std::clamp<Micros>((lateness - settings.lateness_free) * settings.per_lateness, 0, settings.most);
}

// How much an ask presses: resting ones wait at the owner, one at a time; pressing ones carry what is to be told
// and keep the pause; urgent ones go at once.
enum class Haste { resting, pressing, urgent };

// Example: AskPacer pacer; if (now >= pacer.due(Haste::pressing, asks_flying)) { pacer.asked(now); ... }
//          else try again at pacer.due(...)
class AskPacer {
public:
    static constexpr Micros never = std::numeric_limits<Micros>::max();

    void asked(Micros now) { asked_at_ = now; }
    void answered(Micros now, Micros pause) {
        pause_ = pause;
        next_at_ = now + pause;
    }
    // A new owner is known: nothing that an earlier one asked for holds.
    void reset() { pause_ = next_at_ = 0; }
    // From when on the next ask may leave; `never`: not before an answer has come.
    Micros due(Haste haste, size_t flying) const {
        if (flying >= 2 || (flying == 1 && haste == Haste::resting)) return never;
        if (haste == Haste::urgent) return 0;
        return flying == 0 ? next_at_ : std::max(next_at_, asked_at_ + pause_);
    }

private:
    Micros pause_ = 0, next_at_ = 0, asked_at_ = 0;
};

}  // namespace calicostall
