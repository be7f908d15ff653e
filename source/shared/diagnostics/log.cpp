#include "shared/diagnostics/log.hpp"

namespace calicostall {

void Counters::add(const char* name, std::uint64_t amount) {
    std::lock_guard guard(mutex_);
    values_[name] += amount;
}

std::string Counters::changes_text() {
    std::lock_guard guard(mutex_);
    if (values_ == last_reported_) return {};
    last_reported_ = values_;
    std::string text;
    for (const auto& [name, count] : values_)
        text += fmt::format("{}{}={}", text.empty() ? "" : " ", name, count);
    return text;
}

Counters& counters() {
    static Counters instance;
    return instance;
}

}  // namespace calicostall
