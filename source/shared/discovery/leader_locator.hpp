// How a front, an agent or a daemon outside the membership finds the leader: it watches a few control daemons by long
// polls that carry the versions it has, and learns leader, members and configuration from their responses.
//
// A watcher stays with a daemon that is in contact with the majority and moves on from one that isn't; which daemons
// are preferred is decided by rendezvous hashing, so that the load is spread. A watched daemon may fall silent without
// closing its connection (suspended, without power, cut off), and all of them at once: who needs configurations in time
// then asks a few others, long before the polls have timed out.
#pragma once
#include "common.hpp"
#include "shared/discovery/backoff.hpp"
#include "shared/discovery/config_fetcher.hpp"
#include "shared/discovery/rendezvous.hpp"
#include "shared/http/event_loop.hpp"
#include "shared/wire/watch_messages.hpp"

namespace calicostall {

// All functions may be called from any thread; `on_change` runs on the loop's. Addresses are those of replicas.
// Example: LeaderLocator locator({.own_name = "front-1", .seeds = {"10.0.0.4:7720"}}, loop, [] { reroute(); });
//          locator.start(); ... send_to(locator.call_target(0));
class LeaderLocator {
public:
    // All times are microseconds.
    struct Settings {
        std::string own_name;  // of this process's node; decides which daemons it prefers
        std::vector<std::string> seeds;
        size_t watcher_count = 2;      // daemons watched at once
        Micros max_wait = seconds(5);  // of one poll
        bool needs_config = true;      // whether configurations are fetched
        size_t refresh_fanout = 2;     // daemons polled at once when the leader is lost, or the watched ones are silent
        // Without a response for so long, daemons that nobody watches are polled, where configurations are needed.
        Micros max_silence = seconds(1);
        // No daemon is in contact while a leader is lost and another takes over; that alone is no reason to act.
        Micros max_takeover_duration = seconds(3);
        ConfigFetcherSettings config_fetch;
    };
    // Called when leader, members or configuration have changed.
    using ChangeCallback = std::function<void()>;

    LeaderLocator(Settings settings, EventLoop& loop, ChangeCallback on_change);

    // Begins to watch.
    void start();
    // Exchanges the seeds.
    void add_seeds(const std::vector<std::string>& seeds);

    // The address of the leader as it was last heard of; empty when unknown.
    std::string leader() const;
    // The leader's term.
    Term term() const;
    // The text of the newest configuration that is here, and its revision; empty and 0 when none is.
    std::string config() const { return config_fetcher_.text(); }
    std::uint64_t config_revision() const { return config_fetcher_.revision(); }
    // The version of the membership as it was last heard of, and its members; the version is 0 when nothing was heard.
    std::pair<std::uint64_t, std::vector<std::string>> known_members() const;
    // Whether a daemon in contact with the majority answered within the time of one poll and a takeover.
    bool is_in_contact(Micros now) const;

    // The n-th choice for a call: the leader first, then the other daemons in the order of preference.
    std::string call_target(size_t choice) const;
    // The leader didn't answer: asks a few daemons for what they know now, other ones each time. However many calls
    // fail, the backoff between two rounds grows until a leader is heard of.
    void refresh();
    // Asks the daemon at this address at once: it said that it leads.
    void consult(const std::string& address);

private:
    enum class PollOutcome { no_response, without_contact, in_contact };
    using PollCallback = std::function<void(PollOutcome)>;

    // Orders members and seeds by preference anew.
    void rank_daemons();
    std::vector<std::string> ranked_daemons() const;

    // One round of one watcher: chooses a daemon, polls it, and goes on from what came. `attempt` counts the rounds
    // since a daemon was in contact.
    void run_watcher(size_t watcher, size_t attempt);
    void on_watcher_outcome(size_t watcher, size_t attempt, PollOutcome outcome);
    std::string choose_daemon(size_t watcher, size_t attempt);
    Micros poll_wait(size_t attempt) const;
    bool is_watched_by_other(const std::string& address, size_t watcher) const;

    void schedule_silence_check();
    void poll_others_if_silent();
    // A few daemons that no watcher has, other ones each time.
    std::vector<std::string> choose_unwatched_daemons();

    void send_poll(const std::string& address, Micros max_wait, PollCallback on_outcome);
    void apply_update(const WatchResponse& update);
    // Both return whether something has changed.
    bool apply_leader(const WatchResponse& update);
    bool apply_members(const WatchResponse& update);

    Settings settings_;
    EventLoop& loop_;
    ChangeCallback on_change_;
    mutable std::mutex mutex_;
    std::vector<std::string> members_;
    std::vector<std::string> ranked_daemons_;   // members and seeds, the preferred ones first
    std::vector<std::string> watched_daemons_;  // by watcher
    std::string leader_;
    Term term_;
    std::uint64_t membership_version_ = 0;
    Micros last_contact_at_ = -1;
    Micros last_response_at_ = 0;
    size_t next_unwatched_index_ = 0;
    Backoff refresh_backoff_{milliseconds(100), milliseconds(400), std::random_device{}()};
    size_t next_refresh_index_ = 0;
    ConfigFetcher config_fetcher_;
};

}  // namespace calicostall
