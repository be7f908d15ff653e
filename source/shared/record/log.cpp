#include "shared/record/log.hpp"

namespace calicostall {

void Counters::add(const char* name, std::uint64_t amount) {
    std::lock_guard guard(lock_);
    table_[name] += amount;
}

std::string Counters::changed_text() {
    std::lock_guard guard(lock_);
    if (table_ == shown_) return {};
    shown_ = table_;
    std::string text;
    for (const auto& [name, count] : table_)
        text += fmt::format("{}{}={}", text.empty() ? "" : " ", name, count);
    return text;
}

Counters& counters() {
    static Counters all;
    return all;
}

}  // namespace calicostall
