// How a front or a side finds the owner: it asks a few control daemons with the versions it has.
#pragma once
#include "common.hpp"
#include "shared/http/loop.hpp"
#include "shared/wire/frames.hpp"

namespace calicostall {

// Rendezvous hashing: every daemon ranks all others by a hash of both names and takes the first few.
// Example: rendezvous("side-mbezi-2", {"10.1.0.10:7720", "10.2.0.40:7720"}) -> the same order at every call
inline std::vector<std::string> rendezvous(const std::string& own, std::vector<std::string> others) {
    auto weight = [&](const std::string& other) {
        std::uint64_t hash = 1469598103934665603ull;
        for (char letter : own + "|" + other) hash = (hash ^ std::uint8_t(letter)) * 1099511628211ull;
        hash ^= hash >> 31;
        return hash * 0x9e3779b97f4a7c15ull;
    };
    std::sort(others.begin(), others.end(), [&](const std::string& left, const std::string& right) {
        return std::pair(weight(left), left) > std::pair(weight(right), right);
    });
    return others;
}

class Locator {
public:
    struct Settings {
        std::string own;
        std::vector<std::string> seeds;  // replica addresses
        size_t watched = 2;
        Micros wait = seconds(5);
        bool wants_config = true;
    };
    using Changed = std::function<void()>;

    Locator(Settings settings, Loop& loop, Changed changed) : settings_(std::move(settings)), loop_(loop), changed_(std::move(changed)) {
        peers_ = settings_.seeds;
    }
    void open() {
        watching_.resize(settings_.watched);
        for (size_t watcher = 0; watcher < settings_.watched; ++watcher) watch(watcher, 0);
    }
    void add_seeds(const std::vector<std::string>& seeds) {
        std::lock_guard guard(lock_);
        settings_.seeds = seeds;
    }
    std::string owner() const {
        std::lock_guard guard(lock_);
        return owner_;
    }
    Epoch epoch() const {
        std::lock_guard guard(lock_);
        return epoch_;
    }
    std::string config() const {
        std::lock_guard guard(lock_);
        return config_;
    }
    std::uint64_t revision() const {
        std::lock_guard guard(lock_);
        return revision_;
    }
    bool in_touch(Micros now) const {
        std::lock_guard guard(lock_);
        return heard_at_ >= 0 && now - heard_at_ < settings_.wait + seconds(3);
    }
    // The n-th choice for a call: the owner first, then the peers by rendezvous.
    std::string target(size_t choice) const {
        std::lock_guard guard(lock_);
        std::vector<std::string> order = ranked();
        if (!owner_.empty()) {
            if (choice == 0) return owner_;
            std::erase(order, owner_);
            --choice;
            if (order.empty()) return owner_;
        }
        return order.empty() ? std::string() : order[choice % order.size()];
    }
    // The owner answered nothing: ask all for what they know now.
    void hurry() {
        std::vector<std::string> order;
        {
            std::lock_guard guard(lock_);
            if (steady_now() - hurried_at_ < milliseconds(100)) return;
            hurried_at_ = steady_now();
            order = ranked();
        }
        for (const std::string& address : order) ask(address, 0, [](bool) {});
    }

private:
    std::vector<std::string> ranked() const {
        std::vector<std::string> all = peers_;
        for (const std::string& seed : settings_.seeds)
            if (std::find(all.begin(), all.end(), seed) == all.end()) all.push_back(seed);
        return rendezvous(settings_.own, std::move(all));
    }
    void watch(size_t watcher, size_t tries) {
        std::string address;
        {
            std::lock_guard guard(lock_);
            // The first choice that no other watcher has; after a error, the one after the last.
            std::vector<std::string> order = ranked();
            auto last = std::find(order.begin(), order.end(), watching_[watcher]);
            size_t begin = last == order.end() ? 0 : size_t(last - order.begin()) + (tries > 0 ? 1 : 0);
            for (size_t step = 0; step < order.size() && address.empty(); ++step) {
                const std::string& choice = order[(begin + step) % order.size()];
                bool taken = false;
                for (size_t other = 0; other < watching_.size(); ++other) taken = taken || (other != watcher && watching_[other] == choice);
                if (!taken) address = choice;
            }
            watching_[watcher] = address;
        }
        if (address.empty()) return loop_.after(seconds(1), [this, watcher] { watch(watcher, 0); });
        ask(address, settings_.wait, [this, watcher, tries](bool answered) {
            if (answered) return watch(watcher, 0);
            loop_.after(milliseconds(tries < 3 ? 100 : 500), [this, watcher, tries] { watch(watcher, tries + 1); });
        });
    }
    void ask(const std::string& address, Micros wait, std::function<void(bool)> then) {
        NewsAsk ask;
        {
            std::lock_guard guard(lock_);
            ask = {settings_.wants_config ? revision_ : ~std::uint64_t(0), epoch_, core_mark_, wait};
        }
        loop_.ask({.url = "http://" + address + "/inner/news", .body = pack(ask), .patience = wait + milliseconds(700)}, [this, then](Answer answer) {
            std::optional<NewsAnswer> news;
            if (answer.good()) news = unpack<NewsAnswer>(answer.body);
            if (news) learn(*news);
            then(bool(news));
        });
    }
    void learn(const NewsAnswer& news) {
        bool changed = false;
        {
            std::lock_guard guard(lock_);
            heard_at_ = steady_now();
            if (news.epoch > epoch_ || (news.epoch == epoch_ && owner_.empty() && !news.owner.empty())) {
                epoch_ = news.epoch;
                owner_ = news.owner;
                changed = true;
                log_line("locator", "owner {} under epoch {}", owner_, epoch_.value);
            }
            if (news.config_revision > revision_ && !news.config.empty()) {
                revision_ = news.config_revision;
                config_ = news.config;
                changed = true;
            }
            if (news.core_mark > core_mark_ && !news.peers.empty()) {
                core_mark_ = news.core_mark;
                peers_ = news.peers;
                changed = true;
            }
        }
        if (changed) changed_();
    }

    Settings settings_;
    Loop& loop_;
    Changed changed_;
    mutable std::mutex lock_;
    std::vector<std::string> peers_, watching_;
    std::string owner_, config_;
    Epoch epoch_;
    std::uint64_t revision_ = 0, core_mark_ = 0;
    Micros heard_at_ = -1, hurried_at_ = 0;
};

}  // namespace calicostall
