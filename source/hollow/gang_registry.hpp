// Where the members of simulated gangs meet: a gang does its work only while all its members run.
#pragma once
#include "common.hpp"

namespace calicostall {

// One for all simulated workers of a process; may be called on any thread. A gang is named by its step and run.
class GangRegistry {
public:
    // A member of a gang of `size` starts.
    void join(const std::string& gang, std::uint32_t size, Micros now);
    // A member ends. `is_complete`: it did its work; otherwise the gang is broken. The last one removes the gang.
    void leave(const std::string& gang, bool is_complete);
    // When the last member joined; -1 while members are missing.
    Micros started_at(const std::string& gang) const;
    // Whether a member ended before its work was done.
    bool is_broken(const std::string& gang) const;

private:
    struct Gang {
        std::uint32_t present = 0;
        std::uint32_t members = 0;
        Micros started_at = -1;
        bool is_broken = false;
    };
    mutable std::mutex lock_;
    std::map<std::string, Gang> gangs_;
};

}  // namespace calicostall
