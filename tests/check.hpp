// A few words for tests: tables of cases, and properties by RapidCheck with a fixed seed.
#pragma once
#include <rapidcheck.h>

#include <cstdio>
#include <cstdlib>

#include "common.hpp"

namespace calicostall::tests {

inline int failures = 0;

inline void expect(bool good, const std::string& what, const char* file, int line) {
    if (good) return;
    ++failures;
    fmt::print(stderr, "{}:{}: {}\n", file, line, what);
}
#define EXPECT(condition) ::calicostall::tests::expect((condition), #condition, __FILE__, __LINE__)
#define EXPECT_SAID(condition, said) ::calicostall::tests::expect((condition), (said), __FILE__, __LINE__)

inline void property(const std::string& name, bool good) {
    if (!good) ++failures;
    if (!good) fmt::print(stderr, "property failed: {}\n", name);
}

inline int result() {
    if (failures) fmt::print(stderr, "{} checks failed\n", failures);
    return failures ? 1 : 0;
}

}  // namespace calicostall::tests
