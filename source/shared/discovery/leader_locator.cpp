#include "shared/discovery/leader_locator.hpp"

namespace calicostall {

namespace {

// A poll's response is waited for so much longer than the daemon may keep the poll.
constexpr Micros poll_timeout_slack = milliseconds(700);
// Polls wait no longer than this for a daemon that may not be in contact or not even run; such a daemon keeps a poll
// for half a second (ClusterStateWatchSettings).
constexpr Micros max_unconfirmed_wait = milliseconds(500);
// A watcher that finds no daemon to watch looks again after so long.
constexpr Micros no_daemon_interval = seconds(1);
constexpr Micros silence_check_interval = milliseconds(500);
// After a poll without a response: the first few times a short backoff, then a long one.
constexpr size_t short_backoff_attempts = 3;
constexpr Micros short_backoff = milliseconds(100), long_backoff = milliseconds(500);
// Polls of those who need no configuration name this revision, which no configuration is newer than.
constexpr std::uint64_t no_config_needed = ~std::uint64_t(0);

}  // namespace

LeaderLocator::LeaderLocator(Settings settings, EventLoop& loop, ChangeCallback on_change)
    : settings_(std::move(settings)),
      loop_(loop),
      on_change_(std::move(on_change)),
      members_(settings_.seeds),
      config_fetcher_(
          settings_.config_fetch, loop, [this] { return ranked_daemons(); }, [this] { on_change_(); }) {
    rank_daemons();
}

void LeaderLocator::start() {
    watched_daemons_.resize(settings_.watcher_count);
    for (size_t watcher = 0; watcher < settings_.watcher_count; ++watcher)
        run_watcher(watcher, 0);
    if (settings_.needs_config) schedule_silence_check();
}

void LeaderLocator::add_seeds(const std::vector<std::string>& seeds) {
    std::lock_guard guard(mutex_);
    settings_.seeds = seeds;
    rank_daemons();
}

std::string LeaderLocator::leader() const {
    std::lock_guard guard(mutex_);
    return leader_;
}

Term LeaderLocator::term() const {
    std::lock_guard guard(mutex_);
    return term_;
}

std::pair<std::uint64_t, std::vector<std::string>> LeaderLocator::known_members() const {
    std::lock_guard guard(mutex_);
    return {membership_version_, members_};
}

bool LeaderLocator::is_in_contact(Micros now) const {
    std::lock_guard guard(mutex_);
    return last_contact_at_ >= 0 && now - last_contact_at_ < settings_.max_wait + settings_.max_takeover_duration;
}

std::string LeaderLocator::call_target(size_t choice) const {
    std::lock_guard guard(mutex_);
    const bool is_first_choice = choice == 0 && !leader_.empty();
    if (is_first_choice || ranked_daemons_.empty()) return leader_;
    if (leader_.empty()) return ranked_daemons_[choice % ranked_daemons_.size()];
    const auto leader_at = std::find(ranked_daemons_.begin(), ranked_daemons_.end(), leader_);
    if (leader_at == ranked_daemons_.end()) return ranked_daemons_[(choice - 1) % ranked_daemons_.size()];
    if (ranked_daemons_.size() == 1) return leader_;
    // Among the others: the leader's own index is skipped.
    const size_t index = (choice - 1) % (ranked_daemons_.size() - 1);
    const size_t leader_index = size_t(leader_at - ranked_daemons_.begin());
    return ranked_daemons_[index < leader_index ? index : index + 1];
}

void LeaderLocator::refresh() {
    std::vector<std::string> addresses;
    {
        std::lock_guard guard(mutex_);
        if (ranked_daemons_.empty() || !refresh_backoff_.try_attempt(loop_.now())) return;
        const size_t count = std::min(settings_.refresh_fanout, ranked_daemons_.size());
        while (addresses.size() < count)
            addresses.push_back(ranked_daemons_[next_refresh_index_++ % ranked_daemons_.size()]);
    }
    for (const std::string& address : addresses)
        send_poll(address, 0, [](PollOutcome) {});
}

void LeaderLocator::consult(const std::string& address) {
    send_poll(address, 0, [](PollOutcome) {});
}

void LeaderLocator::rank_daemons() {
    std::vector<std::string> daemons = members_;
    for (const std::string& seed : settings_.seeds)
        if (std::find(daemons.begin(), daemons.end(), seed) == daemons.end()) daemons.push_back(seed);
    ranked_daemons_ = rendezvous_order(settings_.own_name, std::move(daemons));
}

std::vector<std::string> LeaderLocator::ranked_daemons() const {
    std::lock_guard guard(mutex_);
    return ranked_daemons_;
}

void LeaderLocator::run_watcher(size_t watcher, size_t attempt) {
    const std::string address = choose_daemon(watcher, attempt);
    if (address.empty()) return loop_.run_after(no_daemon_interval, [this, watcher] { run_watcher(watcher, 0); });
    send_poll(address, poll_wait(attempt),
              [this, watcher, attempt](PollOutcome outcome) { on_watcher_outcome(watcher, attempt, outcome); });
}

// A daemon that was in contact is waited for as long as the settings say.
Micros LeaderLocator::poll_wait(size_t attempt) const {
    std::lock_guard guard(mutex_);
    const bool is_confirmed = attempt == 0 && last_contact_at_ >= 0;
    return is_confirmed ? settings_.max_wait : std::min(settings_.max_wait, max_unconfirmed_wait);
}

void LeaderLocator::on_watcher_outcome(size_t watcher, size_t attempt, PollOutcome outcome) {
    if (outcome == PollOutcome::in_contact) return run_watcher(watcher, 0);
    // Without contact the daemon has kept the poll for a moment already: no backoff.
    if (outcome == PollOutcome::without_contact) return run_watcher(watcher, attempt + 1);
    const Micros backoff = attempt < short_backoff_attempts ? short_backoff : long_backoff;
    loop_.run_after(backoff, [this, watcher, attempt] { run_watcher(watcher, attempt + 1); });
}

// The first choice that no other watcher has; after an error, or when the previous one was not in contact, the one
// after the previous.
std::string LeaderLocator::choose_daemon(size_t watcher, size_t attempt) {
    std::lock_guard guard(mutex_);
    const std::vector<std::string>& candidates = ranked_daemons_;
    const auto previous = std::find(candidates.begin(), candidates.end(), watched_daemons_[watcher]);
    size_t begin = 0;
    if (previous != candidates.end()) begin = size_t(previous - candidates.begin()) + (attempt > 0 ? 1 : 0);
    std::string choice;
    for (size_t step = 0; step < candidates.size() && choice.empty(); ++step) {
        const std::string& candidate = candidates[(begin + step) % candidates.size()];
        if (!is_watched_by_other(candidate, watcher)) choice = candidate;
    }
    watched_daemons_[watcher] = choice;
    return choice;
}

bool LeaderLocator::is_watched_by_other(const std::string& address, size_t watcher) const {
    for (size_t other = 0; other < watched_daemons_.size(); ++other)
        if (other != watcher && watched_daemons_[other] == address) return true;
    return false;
}

// --- silence of the watched daemons ---

void LeaderLocator::schedule_silence_check() {
    loop_.run_after(silence_check_interval, [this] {
        poll_others_if_silent();
        schedule_silence_check();
    });
}

void LeaderLocator::poll_others_if_silent() {
    std::vector<std::string> others;
    {
        std::lock_guard guard(mutex_);
        if (loop_.now() - last_response_at_ >= settings_.max_silence) others = choose_unwatched_daemons();
    }
    for (const std::string& address : others)
        send_poll(address, 0, [](PollOutcome) {});
}

std::vector<std::string> LeaderLocator::choose_unwatched_daemons() {
    std::vector<std::string> unwatched;
    const auto is_unwatched = [this](const std::string& daemon) {
        return std::find(watched_daemons_.begin(), watched_daemons_.end(), daemon) == watched_daemons_.end();
    };
    std::copy_if(ranked_daemons_.begin(), ranked_daemons_.end(), std::back_inserter(unwatched), is_unwatched);
    std::vector<std::string> chosen;
    while (chosen.size() < std::min(settings_.refresh_fanout, unwatched.size()))
        chosen.push_back(unwatched[next_unwatched_index_++ % unwatched.size()]);
    return chosen;
}

// --- polls ---

void LeaderLocator::send_poll(const std::string& address, Micros max_wait, PollCallback on_outcome) {
    WatchRequest request;
    request.config_revision = settings_.needs_config ? config_fetcher_.announced_revision() : no_config_needed;
    request.max_wait = max_wait;
    {
        std::lock_guard guard(mutex_);
        request.term = term_;
        request.membership_version = membership_version_;
    }
    loop_.send(
        {.url = "http://" + address + "/inner/news", .body = encode(request), .timeout = max_wait + poll_timeout_slack},
        [this, address, on_outcome = std::move(on_outcome)](const ClientResponse& response) {
            std::optional<WatchResponse> update;
            if (response.is_ok()) update = decode<WatchResponse>(response.body);
            if (!update) return on_outcome(PollOutcome::no_response);
            apply_update(*update);
            if (settings_.needs_config)
                config_fetcher_.on_announced({update->config_revision, update->config_bytes, address});
            on_outcome(update->is_in_contact ? PollOutcome::in_contact : PollOutcome::without_contact);
        });
}

void LeaderLocator::apply_update(const WatchResponse& update) {
    bool has_changed = false;
    {
        std::lock_guard guard(mutex_);
        last_response_at_ = loop_.now();
        if (update.is_in_contact) last_contact_at_ = last_response_at_;
        if (apply_leader(update)) has_changed = true;
        if (apply_members(update)) has_changed = true;
    }
    if (has_changed) on_change_();
}

bool LeaderLocator::apply_leader(const WatchResponse& update) {
    const bool is_named_now = update.term == term_ && leader_.empty() && !update.leader_address.empty();
    if (update.term <= term_ && !is_named_now) return false;
    term_ = update.term;
    leader_ = update.leader_address;
    refresh_backoff_.reset();
    log_line("locator", "leader known term={} address={}", term_.value, leader_);
    return true;
}

bool LeaderLocator::apply_members(const WatchResponse& update) {
    if (update.membership_version <= membership_version_ || update.member_addresses.empty()) return false;
    membership_version_ = update.membership_version;
    members_ = update.member_addresses;
    rank_daemons();
    return true;
}

}  // namespace calicostall
