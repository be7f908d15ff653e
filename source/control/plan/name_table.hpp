/// Short numbers for texts that are compared often. Pure.
#pragma once
#include "common.hpp"

namespace calicostall {

/// The number of a text in a `NameTable`; 0 is the empty text.
using NameId = std::uint32_t;

/// Owns the texts and their numbers. Numbers rise in the order in which texts come up, and none is given back.
/// Example: NameTable names; NameId rack = names.intern("r1-3"); names.text(rack) == "r1-3"
class NameTable {
public:
    /// The text's number; a new text gets the next one.
    NameId intern(const std::string& text) {
        auto [found, is_new] = ids_.try_emplace(text, NameId(texts_.size()));
        if (is_new) texts_.push_back(text);
        return found->second;
    }

    /// Throws std::out_of_range for a number that was never given.
    const std::string& text(NameId name) const { return texts_.at(name); }

private:
    std::unordered_map<std::string, NameId> ids_{{"", 0}};
    std::vector<std::string> texts_{""};
};

}  // namespace calicostall
