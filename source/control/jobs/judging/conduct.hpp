// How far a machine's worker is trusted, by what it did: ends, stalls, refusals and ended lives. Pure.
#pragma once
#include <cmath>

#include "common.hpp"

namespace calicostall {

// Shares of bad ends among the newer ones. Without news both fade, so that trust comes back step by step.
// Example: Conduct conduct; conduct.note(true, 0.15); double trust = conduct.trust(fleet.share(), now);
class Conduct {
public:
    // One end or refusal; `weight` says how much it tells.
    void note(bool bad, double weight, Micros now) {
        fade(now);
        share_ += weight * ((bad ? 1.0 : 0.0) - share_);
        ++noted_;
    }
    // A life or hold that ended without being asked to: each further one within the memory doubles the pause.
    void note_lapse(Micros now) {
        fade(now);
        lapses_ = std::min(lapses_ + 1.0, 6.0);
        paused_until_ = now + (lapses_ < 1.5 ? 0 : Micros(double(milliseconds(500)) * std::exp2(lapses_)));
    }
    // 1: as good as the fleet. 0: everything it ran lately went wrong while others' did not.
    double trust(double fleet_share, Micros now) const {
        const double borne = std::min(fleet_share, 0.5) + 0.2;
        if (share_ <= borne) return 1;  // it only fades from here
        double kept = std::exp(-double(std::max<Micros>(0, now - faded_at_)) / double(memory));
        double over = share_ * kept - borne;
        double by_ends = std::clamp(1 - 2.5 * std::max(0.0, over), 0.0, 1.0);
        return noted_ < 3 ? std::max(by_ends, 0.5) : by_ends;
    }
    bool paused(Micros now) const { return now < paused_until_; }
    double share() const { return share_; }

private:
    static constexpr Micros memory = seconds(20);
    void fade(Micros now) {
        if (faded_at_ != 0 && now > faded_at_) {
            double kept = std::exp(-double(now - faded_at_) / double(memory));
            share_ *= kept;
            lapses_ *= kept;
        }
        faded_at_ = std::max(faded_at_, now);
    }
    double share_ = 0, lapses_ = 0;
    std::uint64_t noted_ = 0;
    Micros faded_at_ = 0, paused_until_ = 0;
};

// All machines' conduct, and the whole fleet's for comparison.
class Conducts {
public:
    void note(const std::string& node, bool bad, double weight, Micros now) {
        each_[node].note(bad, weight, now);
        fleet_.note(bad, weight / 10, now);
    }
    void note_lapse(const std::string& node, Micros now) { each_[node].note_lapse(now); }
    // The machine's own; it stays where it is until `clear`.
    const Conduct& of(const std::string& node) { return each_[node]; }
    double trust(const Conduct& conduct, Micros now) const { return conduct.trust(fleet_.share(), now); }
    double trust(const std::string& node, Micros now) const {
        auto found = each_.find(node);
        return found == each_.end() ? 1.0 : found->second.trust(fleet_.share(), now);
    }
    bool paused(const std::string& node, Micros now) const {
        auto found = each_.find(node);
        return found != each_.end() && found->second.paused(now);
    }
    void clear() { each_.clear(), fleet_ = {}; }

private:
    std::map<std::string, Conduct> each_;
    Conduct fleet_;
};

}  // namespace calicostall
