// Finds a key that an object of a JSON text holds twice: a reader of the text keeps one of the two values and drops the
// other, so such a text can't be read whole.
#pragma once
#include "common.hpp"

namespace calicostall {

/// The first doubled key of a text that is sound JSON; nothing where no object has one.
/// Example: duplicate_key(R"({"revision":7,"revision":8})") == "revision"
std::optional<std::string> duplicate_key(std::string_view text);

}  // namespace calicostall
