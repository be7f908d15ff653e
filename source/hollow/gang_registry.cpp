#include "hollow/gang_registry.hpp"

namespace calicostall {

void GangRegistry::join(const std::string& gang, std::uint32_t size, Micros now) {
    std::lock_guard guard(lock_);
    Gang& joined = gangs_[gang];
    ++joined.members;
    if (++joined.present == size && !joined.is_broken) joined.started_at = now;
}

void GangRegistry::leave(const std::string& gang, bool is_complete) {
    std::lock_guard guard(lock_);
    auto found = gangs_.find(gang);
    if (found == gangs_.end()) return;
    if (!is_complete) found->second.is_broken = true;
    --found->second.present;
    if (--found->second.members == 0) gangs_.erase(found);
}

Micros GangRegistry::started_at(const std::string& gang) const {
    std::lock_guard guard(lock_);
    auto found = gangs_.find(gang);
    return found == gangs_.end() ? -1 : found->second.started_at;
}

bool GangRegistry::is_broken(const std::string& gang) const {
    std::lock_guard guard(lock_);
    auto found = gangs_.find(gang);
    return found != gangs_.end() && found->second.is_broken;
}

}  // namespace calicostall
