#include "shared/record/finding.hpp"

namespace calicostall {

std::string Findings::text() const {
    std::string all;
    for (const Finding& finding : list_) {
        if (!all.empty()) all += "; ";
        all += finding.place + ": " + finding.text;
    }
    return all;
}

}  // namespace calicostall
