// What a case sent, what it was answered and what ran, in the order of time: record.txt of the case's folder.
#pragma once
#include <cstdio>
#include <fstream>
#include <mutex>
#include <string>

#include "http.hpp"

namespace standins {

class Record {
public:
    explicit Record(const std::string& path) : file_(path, std::ios::trunc) {}
    double now() const { return std::chrono::duration<double>(Clock::now() - began_).count(); }
    void add(const std::string& text) {
        std::lock_guard guard(mutex_);
        char time[32];
        std::snprintf(time, sizeof time, "%9.4f ", now());
        file_ << time << text << std::endl;
    }

private:
    const Clock::time_point began_ = Clock::now();
    std::mutex mutex_;
    std::ofstream file_;
};

}  // namespace standins
