#include "control/plan/runtime_estimator.hpp"

namespace calicostall {

namespace {

constexpr std::uint64_t min_runtime_samples = 8;  // before the usual duration counts at all
constexpr std::uint64_t min_error_samples = 4;    // before an estimate is corrected
constexpr Micros min_runtime = milliseconds(1);   // shorter ones say more about the measuring than about the task
constexpr Micros unknown_runtime = seconds(1);

}  // namespace

void RuntimeEstimator::record(Micros estimate, Micros actual) {
    const double log_actual = std::log(double(std::max<Micros>(actual, min_runtime)));
    log_runtime_.add(log_actual);
    if (estimate > 0) log_error_.add(log_actual - std::log(double(estimate)));
}

double RuntimeEstimator::log_deviation() const {
    if (log_runtime_.count() < min_runtime_samples) return 0;
    double variance = log_runtime_.variance();
    if (log_error_.count() >= min_runtime_samples) variance = std::min(log_error_.variance(), variance);
    return std::sqrt(variance);
}

Micros RuntimeEstimator::expected_runtime(Micros estimate) const {
    if (estimate <= 0) return log_runtime_.count() ? Micros(std::exp(log_runtime_.mean())) : unknown_runtime;
    const double correction = log_error_.count() >= min_error_samples ? log_error_.mean() : 0.0;
    const double log_corrected = std::log(double(estimate)) + correction;
    if (log_runtime_.count() < min_runtime_samples) return Micros(std::exp(log_corrected));
    const double estimate_weight = 1 / log_error_.variance();
    const double usual_weight = 1 / log_runtime_.variance();
    return Micros(std::exp((log_corrected * estimate_weight + log_runtime_.mean() * usual_weight) /
                           (estimate_weight + usual_weight)));
}

double expected_normal_maximum(std::uint64_t count) {
    if (count < 2) return 0;
    const double above = 1 - (double(count) - 0.375) / (double(count) + 0.25);
    const double root = std::sqrt(-2 * std::log(above));
    return root - (2.30753 + 0.27061 * root) / (1 + 0.99229 * root + 0.04481 * root * root);
}

}  // namespace calicostall
