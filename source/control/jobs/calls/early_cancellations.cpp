#include "control/jobs/calls/early_cancellations.hpp"

namespace calicostall {

namespace {

// As long as calls may be under way.
constexpr Micros retention = seconds(10);
constexpr std::size_t max_entries = 4096;

}  // namespace

void EarlyCancellations::record(const JobName& job, Micros now) {
    valid_until_[job] = now + retention;
    by_age_.push_back(job);
    if (by_age_.size() <= max_entries) return;
    valid_until_.erase(by_age_.front());
    by_age_.pop_front();
}

bool EarlyCancellations::consume(const JobName& job, Micros now) {
    auto found = valid_until_.find(job);
    if (found == valid_until_.end()) return false;
    const bool is_valid = now <= found->second;
    valid_until_.erase(found);
    return is_valid;
}

void EarlyCancellations::clear() {
    valid_until_.clear();
    by_age_.clear();
}

}  // namespace calicostall
