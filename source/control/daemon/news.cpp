// What fronts, sides and daemons outside the core poll for: the owner, the core and the published configuration.
#include "control/daemon/control.hpp"

namespace calicostall {

void Control::answer_news(Micros now) {
    const PublishedConfig config = published_config();
    follow_located_core();
    // Without news nobody is looked at before the first wait is over.
    const NewsState state{known_epoch_, config.revision, core_mark_, in_contact(now)};
    if (state == news_answered_ && now < news_due_) return;
    news_answered_ = state;
    news_due_ = std::numeric_limits<Micros>::max();
    for (auto poll = news_polls_.begin(); poll != news_polls_.end();) {
        if (!is_due(*poll, state, now)) {
            news_due_ = std::min(news_due_, state.in_contact ? poll->until : now);
            ++poll;
            continue;
        }
        poll->reply.send(Response::cbor(pack(news_answer(config, state.in_contact))));
        poll = news_polls_.erase(poll);
    }
}

bool Control::is_due(const NewsPoll& poll, const NewsState& state, Micros now) const {
    const NewsAsk& ask = poll.ask;
    const bool newer =
        state.epoch > ask.epoch || state.config_revision > ask.config_revision || state.core_mark > ask.core_mark;
    const bool left_alone = !state.in_contact && now >= poll.since + settings_.news_wait_without_contact;
    return newer || left_alone || now >= poll.until;
}

bool Control::in_contact(Micros now) const {
    if (acting()) return owner_.confirmed_at() >= 0 && now - owner_.confirmed_at() < settings_.contact_timeout;
    if (!place_) return locator_ && locator_->in_touch(now);
    return owner_heard_at_ && now - *owner_heard_at_ < settings_.contact_timeout;
}

NewsAnswer Control::news_answer(const PublishedConfig& config, bool in_contact) const {
    NewsAnswer answer{config.revision, 0, known_epoch_, known_owner_, core_mark_, {}, in_contact};
    if (config.text) answer.config_bytes = config.text->size();
    if (!place_ && !located_core_.empty()) {
        answer.peers = located_core_;
        return answer;
    }
    for (const Member& member : core_.members)
        answer.peers.push_back(member.address);
    return answer;
}

ConfigTextAnswer Control::config_text(const ConfigTextAsk& ask) {
    const PublishedConfig config = published_config();
    if (!config.text || config.revision < ask.revision) return {};
    return {config.revision, *config.text};
}

// The configuration of the own replica; outside the core the one that was heard of when that is newer.
Control::PublishedConfig Control::published_config() {
    PublishedConfig config;
    auto found = replica_.registers.find("published");
    if (found != replica_.registers.end() && !found->second.moving.empty()) {
        const Register& value = found->second;
        if (value.version != config_version_ || value.epoch != config_epoch_) {
            config_version_ = value.version;
            config_epoch_ = value.epoch;
            config_revision_ = read_config(value.moving).revision;
        }
        config = {config_revision_, &value.moving};
    }
    if (!locator_ || place_ || locator_->revision() <= config.revision) return config;
    located_config_ = locator_->config();
    return {locator_->revision(), &located_config_};
}

void Control::follow_located_core() {
    if (!locator_ || place_) return;
    auto [mark, peers] = locator_->peers();
    if (mark <= core_mark_) return;
    core_mark_ = mark;
    located_core_ = std::move(peers);
}

void Control::answer_all_waiting() {
    for (SidePoll& poll : side_polls_.take_all())
        poll.reply.send(Response::cbor(pack(SideAnswer{})));
    held_calls_.release();
    for (NewsPoll& poll : news_polls_)
        poll.until = 0;
    news_due_ = 0;
    answer_news(steady_now());
}

}  // namespace calicostall
