#include "control/jobs/run_id.hpp"

namespace calicostall {

namespace {

// Keeps a number of digits within 64 bits; longer ones are no part of a task's name.
constexpr size_t max_digits = 18;

std::optional<std::uint64_t> parse_number(std::string_view text) {
    if (text.empty() || text.size() > max_digits) return std::nullopt;
    std::uint64_t number = 0;
    for (char character : text) {
        if (character < '0' || character > '9') return std::nullopt;
        number = number * 10 + std::uint64_t(character - '0');
    }
    return number;
}

}  // namespace

std::string RunId::task_name() const {
    return fmt::format("{}.{}.{}.{}", job, occurrence, step, index);
}

std::optional<RunId> RunId::parse(std::string_view task, std::uint32_t run) {
    std::array<std::string_view, 4> parts;
    for (size_t part = 0; part < parts.size(); ++part) {
        const size_t dot = part + 1 == parts.size() ? task.size() : task.find('.');
        if (dot == std::string_view::npos) return std::nullopt;
        parts[part] = task.substr(0, dot);
        task.remove_prefix(std::min(task.size(), dot + 1));
    }
    const auto occurrence = parse_number(parts[1]);
    const auto step = parse_number(parts[2]);
    const auto index = parse_number(parts[3]);
    if (!occurrence || !step || !index) return std::nullopt;
    return RunId{std::string(parts[0]), *occurrence, std::uint32_t(*step), std::uint32_t(*index), run};
}

std::optional<RunOutcome> parse_run_outcome(std::string_view text) {
    static const std::map<std::string_view, RunOutcome> outcomes = {
        {"done", RunOutcome::done},          {"failed", RunOutcome::failed},
        {"stopped", RunOutcome::stopped},    {"lapsed", RunOutcome::lease_expired},
        {"broken", RunOutcome::gang_broken}, {"alone", RunOutcome::gang_incomplete}};
    const auto found = outcomes.find(text);
    return found == outcomes.end() ? std::nullopt : std::optional(found->second);
}

const char* run_outcome_text(RunOutcome outcome) {
    constexpr std::array<const char*, 7> texts{"done", "failed", "stopped", "lapsed", "broken", "alone", "lost"};
    return texts[size_t(outcome)];
}

}  // namespace calicostall
