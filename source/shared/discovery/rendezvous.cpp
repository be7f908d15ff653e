#include "shared/discovery/rendezvous.hpp"

#include <xxhash.h>

namespace calicostall {

std::vector<std::string> rendezvous_order(const std::string& own_name, std::vector<std::string> names) {
    const std::uint64_t seed = XXH3_64bits(own_name.data(), own_name.size());
    std::vector<std::pair<std::uint64_t, std::string>> weighted;
    weighted.reserve(names.size());
    for (std::string& name : names) {
        const std::uint64_t weight = XXH3_64bits_withSeed(name.data(), name.size(), seed);
        weighted.emplace_back(weight, std::move(name));
    }
    std::sort(weighted.begin(), weighted.end(), std::greater<>());
    for (size_t index = 0; index < weighted.size(); ++index)
        names[index] = std::move(weighted[index].second);
    return names;
}

}  // namespace calicostall
