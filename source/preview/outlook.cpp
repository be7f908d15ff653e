#include "preview/outlook.hpp"

namespace calicostall {

size_t Outlook::alarms() const {
    return size_t(std::count_if(twice.begin(), twice.end(), [](const Twice& each) { return !each.allowed; }));
}

}  // namespace calicostall
