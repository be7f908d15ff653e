#include "hollow/samples.hpp"

namespace calicostall {

void Samples::add(double value) {
    std::lock_guard guard(lock_);
    if (values_.size() < max_samples)
        values_.push_back(value);
    else
        ++dropped_;
}

void Samples::clear() {
    std::lock_guard guard(lock_);
    values_.clear();
    dropped_ = 0;
}

double Samples::quantile(double share) const {
    std::lock_guard guard(lock_);
    if (values_.empty()) return 0;
    std::vector<double> sorted = values_;
    std::sort(sorted.begin(), sorted.end());
    size_t rank = size_t(std::ceil(share * double(sorted.size())));
    return sorted[std::clamp<size_t>(rank, 1, sorted.size()) - 1];
}

size_t Samples::count() const {
    std::lock_guard guard(lock_);
    return values_.size();
}

boost::json::object Samples::json() const {
    return {{"count", count()},      {"p50", quantile(0.5)}, {"p90", quantile(0.9)},
            {"p99", quantile(0.99)}, {"max", quantile(1)},   {"dropped", dropped_}};
}

}  // namespace calicostall
