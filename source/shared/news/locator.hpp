// How a front or a side finds the owner: it asks a few control daemons with the versions it has. The text of a
// configuration is fetched by itself, once, and may take as long as its size needs on a slow link.
#pragma once
#include <xxhash.h>

#include "common.hpp"
#include "shared/http/loop.hpp"
#include "shared/news/backoff.hpp"
#include "shared/wire/frames.hpp"

namespace calicostall {

// Rendezvous hashing: every daemon ranks all others by a hash of both names and takes the first few.
// Example: rendezvous("side-mbezi-2", {"10.1.0.10:7720", "10.2.0.40:7720"}) -> the same order at every call
inline std::vector<std::string> rendezvous(const std::string& own, std::vector<std::string> others) {
    std::vector<std::pair<std::uint64_t, std::string>> ranks;
    ranks.reserve(others.size());
    std::uint64_t seed = XXH3_64bits(own.data(), own.size());
    for (std::string& other : others) {
        std::uint64_t weight = XXH3_64bits_withSeed(other.data(), other.size(), seed);
        ranks.emplace_back(weight, std::move(other));
    }
    std::sort(ranks.begin(), ranks.end(), std::greater<>());
    for (size_t place = 0; place < ranks.size(); ++place)
        others[place] = std::move(ranks[place].second);
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
        size_t hurried = 2;  // daemons asked at once when the owner is lost
        // No daemon is in contact while an owner is lost and another takes over; that alone is no reason to act.
        Micros takeover_most = seconds(3);
        // The time limit for fetching a text: so much, and more for each byte (270 KB take 1.1 s at 2 Mbit/s, and other
        // fetches share the link). It doubles with each failure, up to `fetch_most`.
        Micros fetch_least = seconds(1), fetch_per_byte = 10, fetch_most = seconds(20);
        // After a failure, before the next daemon is asked; it doubles with each failure as well.
        Micros fetch_pause = milliseconds(200), fetch_pause_most = seconds(2);
    };
    using Changed = std::function<void()>;

    Locator(Settings settings, Loop& loop, Changed changed)
        : settings_(std::move(settings)), loop_(loop), changed_(std::move(changed)) {
        peers_ = settings_.seeds;
        rank();
    }
    void open() {
        watching_.resize(settings_.watched);
        for (size_t watcher = 0; watcher < settings_.watched; ++watcher)
            watch(watcher, 0);
    }
    void add_seeds(const std::vector<std::string>& seeds) {
        std::lock_guard guard(lock_);
        settings_.seeds = seeds;
        rank();
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
    // The core as it was last heard of, and its version; the version is 0 when nothing was heard.
    std::pair<std::uint64_t, std::vector<std::string>> peers() const {
        std::lock_guard guard(lock_);
        return {core_mark_, peers_};
    }
    // Whether a daemon in contact with the majority answered within the time of one poll and a takeover.
    bool in_touch(Micros now) const {
        std::lock_guard guard(lock_);
        return contact_at_ >= 0 && now - contact_at_ < settings_.wait + settings_.takeover_most;
    }
    // The n-th choice for a call: the owner first, then the peers by rendezvous.
    std::string target(size_t choice) const {
        std::lock_guard guard(lock_);
        if (choice == 0 && !owner_.empty()) return owner_;
        if (ranked_.empty()) return owner_;
        if (owner_.empty()) return ranked_[choice % ranked_.size()];
        auto own_rank = std::find(ranked_.begin(), ranked_.end(), owner_);
        if (own_rank == ranked_.end()) return ranked_[(choice - 1) % ranked_.size()];
        if (ranked_.size() == 1) return owner_;
        size_t place = (choice - 1) % (ranked_.size() - 1);
        return ranked_[place < size_t(own_rank - ranked_.begin()) ? place : place + 1];
    }
    // The owner answered nothing: ask a few daemons for what they know now, other ones each time.
    // However many calls fail, the pause between two rounds grows until an owner is heard of.
    void hurry() {
        std::vector<std::string> asked;
        {
            std::lock_guard guard(lock_);
            if (ranked_.empty() || !hurry_.due(steady_now())) return;
            for (size_t count = 0; count < std::min(settings_.hurried, ranked_.size()); ++count)
                asked.push_back(ranked_[hurry_next_++ % ranked_.size()]);
        }
        for (const std::string& address : asked)
            ask(address, 0, [](Heard) {});
    }

private:
    enum class Heard { nothing, without_contact, in_contact };

    void rank() {
        std::vector<std::string> all = peers_;
        for (const std::string& seed : settings_.seeds)
            if (std::find(all.begin(), all.end(), seed) == all.end()) all.push_back(seed);
        ranked_ = rendezvous(settings_.own, std::move(all));
    }
    void watch(size_t watcher, size_t tries) {
        std::string address;
        {
            std::lock_guard guard(lock_);
            // The first choice that no other watcher has; after an error, or when the last one was not in contact, the
            // one after the last.
            const std::vector<std::string>& order = ranked_;
            auto last = std::find(order.begin(), order.end(), watching_[watcher]);
            size_t begin = last == order.end() ? 0 : size_t(last - order.begin()) + (tries > 0 ? 1 : 0);
            for (size_t step = 0; step < order.size() && address.empty(); ++step) {
                const std::string& choice = order[(begin + step) % order.size()];
                bool taken = false;
                for (size_t other = 0; other < watching_.size(); ++other)
                    taken = taken || (other != watcher && watching_[other] == choice);
                if (!taken) address = choice;
            }
            watching_[watcher] = address;
        }
        if (address.empty()) return loop_.after(seconds(1), [this, watcher] { watch(watcher, 0); });
        ask(address, settings_.wait, [this, watcher, tries](Heard heard) {
            if (heard == Heard::in_contact) return watch(watcher, 0);
            // It has kept the poll for a moment already.
            if (heard == Heard::without_contact) return watch(watcher, tries + 1);
            loop_.after(milliseconds(tries < 3 ? 100 : 500), [this, watcher, tries] { watch(watcher, tries + 1); });
        });
    }
    void ask(const std::string& address, Micros wait, std::function<void(Heard)> then) {
        NewsAsk ask;
        {
            std::lock_guard guard(lock_);
            ask = {settings_.wants_config ? announced_.revision : ~std::uint64_t(0), epoch_, core_mark_, wait};
        }
        loop_.ask({.url = "http://" + address + "/inner/news", .body = pack(ask), .patience = wait + milliseconds(700)},
                  [this, address, then](Answer answer) {
                      std::optional<NewsAnswer> news;
                      if (answer.good()) news = unpack<NewsAnswer>(answer.body);
                      if (!news) return then(Heard::nothing);
                      learn(*news);
                      note_announced(*news, address);
                      then(news->in_contact ? Heard::in_contact : Heard::without_contact);
                  });
    }
    void learn(const NewsAnswer& news) {
        bool changed = false;
        {
            std::lock_guard guard(lock_);
            if (news.in_contact) contact_at_ = steady_now();
            if (news.epoch > epoch_ || (news.epoch == epoch_ && owner_.empty() && !news.owner.empty())) {
                epoch_ = news.epoch;
                owner_ = news.owner;
                hurry_.reset();
                changed = true;
                log_line("locator", "owner {} under epoch {}", owner_, epoch_.value);
            }
            if (news.core_mark > core_mark_ && !news.peers.empty()) {
                core_mark_ = news.core_mark;
                peers_ = news.peers;
                rank();
                changed = true;
            }
        }
        if (changed) changed_();
    }

    // --- the text of the configuration ---

    void note_announced(const NewsAnswer& news, const std::string& address) {
        {
            std::lock_guard guard(lock_);
            if (!settings_.wants_config || news.config_revision <= announced_.revision) return;
            announced_ = {news.config_revision, news.config_bytes, address};
            if (std::exchange(fetching_, true)) return;
        }
        fetch(address, 0);
    }
    static Micros doubled(Micros time, size_t times, Micros most) {
        for (size_t each = 0; each < times && time < most; ++each)
            time *= 2;
        return std::min(time, most);
    }
    void fetch(const std::string& address, size_t failures) {
        ConfigTextAsk ask;
        Micros patience;
        {
            std::lock_guard guard(lock_);
            // What is newer than the text that is here will do: an announcer may have lost the newest one since.
            ask.revision = revision_ + 1;
            patience = settings_.fetch_least + Micros(announced_.bytes) * settings_.fetch_per_byte;
            patience = doubled(patience, failures, settings_.fetch_most);
        }
        loop_.ask({.url = "http://" + address + "/inner/config", .body = pack(ask), .patience = patience},
                  [this, failures](Answer answer) {
                      auto frame = answer.good() ? unpack<ConfigTextAnswer>(answer.body) : std::nullopt;
                      take_text(frame ? std::move(*frame) : ConfigTextAnswer{}, failures);
                  });
    }
    void take_text(ConfigTextAnswer answer, size_t failures) {
        bool changed = false;
        std::string next;  // whom to ask now
        {
            std::lock_guard guard(lock_);
            if (answer.revision > revision_ && !answer.text.empty()) {
                revision_ = answer.revision;
                config_ = std::move(answer.text);
                changed = true;
            }
            fetching_ = revision_ < announced_.revision;
            if (fetching_) next = changed || ranked_.empty() ? announced_.by : ranked_[failures % ranked_.size()];
        }
        if (changed) changed_();
        if (next.empty()) return;
        if (changed) return fetch(next, 0);
        const Micros pause = doubled(settings_.fetch_pause, failures, settings_.fetch_pause_most);
        loop_.after(pause, [this, next, failures] { fetch(next, failures + 1); });
    }

    // The newest configuration that any daemon was heard to have.
    struct Announced {
        std::uint64_t revision = 0, bytes = 0;
        std::string by;
    };

    Settings settings_;
    Loop& loop_;
    Changed changed_;
    mutable std::mutex lock_;
    std::vector<std::string> peers_, ranked_, watching_;
    std::string owner_, config_;
    Epoch epoch_;
    std::uint64_t revision_ = 0, core_mark_ = 0;
    Announced announced_;
    bool fetching_ = false;
    Micros contact_at_ = -1;
    Backoff hurry_{milliseconds(100), milliseconds(400), std::random_device{}()};
    size_t hurry_next_ = 0;
};

}  // namespace calicostall
