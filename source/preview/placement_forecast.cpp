#include "preview/placement_forecast.hpp"

namespace calicostall {

size_t PlacementForecast::alarm_count() const {
    return size_t(std::count_if(duplicate_runs.begin(), duplicate_runs.end(),
                                [](const DuplicateRun& each) { return !each.is_allowed; }));
}

}  // namespace calicostall
