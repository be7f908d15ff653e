#include "shared/diagnostics/finding.hpp"

namespace calicostall {

std::string Findings::text() const {
    std::string all;
    for (const Finding& finding : list_) {
        if (!all.empty()) all += "; ";
        all += finding.location + ": " + finding.text;
    }
    return all;
}

}  // namespace calicostall
