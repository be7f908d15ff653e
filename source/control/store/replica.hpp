// What one disk has promised and holds. Pure: the caller persists a Change before it answers.
#pragma once
#include "control/store/register.hpp"

namespace calicostall {

// What is to be on the disk before the answer may leave.
struct Change {
    std::optional<Epoch> promised, synced;
    std::vector<std::pair<std::string, Register>> puts;
    std::vector<std::string> drops;
    bool empty() const { return !promised && !synced && puts.empty() && drops.empty(); }
};

// Example: auto [answer, change] = replica.write(ask); disk.commit(change, [answer] { send(answer); });
class Replica {
public:
    Identity identity;
    Epoch promised, synced;
    std::map<std::string, Register> registers;

    // Grants a higher epoch (or the same one again), only to the daemon that it trusts.
    std::pair<PrepareAnswer, Change> prepare(const PrepareAsk& ask, bool trusted) {
        PrepareAnswer answer;
        Change change;
        if (ask.to != identity) answer.verdict = Verdict::stranger;
        else if (ask.epoch < promised) answer.verdict = Verdict::outdated;
        else if (!trusted) answer.verdict = Verdict::untrusted;
        else {
            answer.verdict = Verdict::granted;
            if (ask.epoch > promised) change.promised = promised = ask.epoch;
            for (const auto& [key, value] : registers) answer.registers.push_back({key, value});
        }
        answer.promised = promised;
        answer.synced = synced;
        return {std::move(answer), std::move(change)};
    }

    std::pair<WriteAnswer, Change> write(const WriteAsk& ask) {
        WriteAnswer answer;
        Change change;
        answer.promised = promised;
        if (ask.to != identity) {
            answer.verdict = Verdict::stranger;
            return {std::move(answer), std::move(change)};
        }
        if (ask.epoch < promised) {
            answer.verdict = Verdict::outdated;
            return {std::move(answer), std::move(change)};
        }
        answer.verdict = Verdict::granted;
        if (ask.epoch > promised) change.promised = promised = ask.epoch;
        for (const WriteEntry& entry : ask.entries) {
            auto found = registers.find(entry.key);
            Register value = entry.value;
            if (entry.carries != Carries::all) {
                if (found == registers.end()) {
                    answer.lacking.push_back(entry.key);
                    continue;
                }
                value.fixed = found->second.fixed;
                if (entry.carries == Carries::mark) {
                    if (found->second.version != value.version) {
                        answer.lacking.push_back(entry.key);
                        continue;
                    }
                    value.moving = found->second.moving;
                }
            }
            if (found != registers.end() && !value.newer_than(found->second)) continue;
            registers[entry.key] = value;
            change.puts.emplace_back(entry.key, std::move(value));
        }
        for (const std::string& key : ask.purges)
            if (registers.erase(key)) change.drops.push_back(key);
        if (ask.complete && answer.lacking.empty() && synced < ask.epoch) {
            // What is older than this owner's takeover and was not handed over was never decided.
            change.synced = synced = ask.epoch;
            for (auto each = registers.begin(); each != registers.end();) {
                if (each->second.epoch < synced) {
                    change.drops.push_back(each->first);
                    each = registers.erase(each);
                } else {
                    ++each;
                }
            }
        }
        answer.promised = promised;
        return {std::move(answer), std::move(change)};
    }
};

}  // namespace calicostall
