#include "control/detector/self_suspicion.hpp"

namespace calicostall {

bool SelfSuspicion::on_timer_fired(Micros lateness, std::optional<Micros> leading_since, Micros now) {
    if (!leading_since || now - *leading_since < settings_.startup_grace || now < min_backoff_until_) {
        late_count_ = 0;
        return false;
    }
    if (lateness <= settings_.on_time_threshold) {
        record_on_time(now);
        return false;
    }
    if (lateness < settings_.late_threshold) return false;
    return record_late(now);
}

void SelfSuspicion::record_on_time(Micros now) {
    late_count_ = 0;
    if (on_time_since_ < 0) on_time_since_ = now;
    if (now - on_time_since_ > settings_.backoff_reset_after) backoff_ = settings_.initial_backoff;
}

bool SelfSuspicion::record_late(Micros now) {
    on_time_since_ = -1;
    if (late_count_++ == 0) late_since_ = now;
    if (late_count_ < settings_.min_late_count || now - late_since_ < settings_.min_late_duration) return false;
    backoff_until_ = now + backoff_;
    min_backoff_until_ = now + settings_.initial_backoff;
    backoff_ = std::min(backoff_ * 2, settings_.max_backoff);
    late_count_ = 0;
    return true;
}

bool SelfSuspicion::is_yielding_to_another(Micros now, std::optional<Micros> last_contact_at) const {
    const bool has_other_leader = last_contact_at && now - *last_contact_at < settings_.leader_absence_timeout;
    return is_backing_off(now) && (now < min_backoff_until_ || has_other_leader);
}

}  // namespace calicostall
