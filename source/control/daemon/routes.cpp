// Requests by path: frames of other daemons on the replica's port, operators' calls on the control port.
#include "control/daemon/control.hpp"

namespace calicostall {

namespace {

// A callback that sends a frame as the answer, from any thread.
template <class Frame>
std::function<void(Frame)> respond_with(Reply reply) {
    auto shared = std::make_shared<Reply>(std::move(reply));
    return [shared](Frame frame) { shared->send(Response::cbor(pack(frame))); };
}

Response to_response(CallAnswer answer, bool read_only) {
    if (answer.fate != CallFate::settled)
        return Response::later(answer.fate == CallFate::doubtful && !read_only ? 504 : 503, 1);
    if (!answer.location.empty()) return Response::moved(std::move(answer.location));
    Response response;
    response.code = int(answer.code);
    response.body = std::move(answer.body);
    response.form = response.body.empty() ? Response::Form::none : Response::Form::json;
    response.retry_after_s = int(answer.retry_after_s);
    return response;
}

}  // namespace

void Control::route_inner_request(Request request) {
    if (request.path == "/inner/write") return receive_write(std::move(request));
    if (request.path == "/inner/prepare") return receive_prepare(std::move(request));
    if (request.path == "/inner/alive") return receive_heartbeat(std::move(request));
    if (request.path == "/inner/leave") return receive_leave(std::move(request));
    if (request.path == "/inner/join") return receive_join(std::move(request));
    if (request.path == "/inner/found") return receive_found(std::move(request));
    if (request.path == "/inner/news") return receive_news_poll(std::move(request));
    if (request.path == "/inner/config") return receive_config_text_ask(std::move(request));
    if (request.path == "/inner/call") return receive_call(std::move(request));
    if (request.path == "/inner/side") return receive_side_poll(std::move(request));
    if (request.path == preview_path) return request.reply.send(answer_preview(request.method));
    request.reply.send(Response::plain(404));
}

// Operators' calls, by the table: PUT /config, GET /config.
void Control::route_operator_request(Request request) {
    if (request.path != "/config") return request.reply.send(Response::plain(404));
    const bool read_only = request.method == "GET";
    if (request.method != "PUT" && !read_only) return request.reply.send(Response::plain(405));
    auto reply = std::make_shared<Reply>(std::move(request.reply));
    const CallAsk ask{request.method, {}, "/config", std::move(request.body), request.if_match, false};
    std::lock_guard guard(lock_);
    const Micros now = steady_now();
    election_.note_activity(now);
    auto respond = [this, reply, read_only, now](CallAnswer answer) {
        Response response = to_response(std::move(answer), read_only);
        if (read_only) log_config_read(response, now);
        reply->send(std::move(response));
    };
    held_calls_.hold(ask, std::move(respond), now);
    // Before what the turn does for everybody else.
    send_held_calls(now);
    turn();
}

// Reads of the configuration are few, and whoever finds an old one wants to know which daemon gave it, and when.
void Control::log_config_read(const Response& response, Micros asked_at) const {
    const std::string from = serving() ? "here" : known_owner_.empty() ? "nobody" : known_owner_;
    log_line("config", "read asked {} ms ago is answered {} with {} bytes, owner {} under epoch {}",
             (steady_now() - asked_at) / 1000, response.code, response.body.size(), from, known_epoch_.value);
}

void Control::refuse_frame(Reply& reply) {
    counters().add("frames_refused");
    reply.send(Response::plain(400));
}

void Control::receive_write(Request request) {
    auto ask = unpack<WriteAsk>(request.body);
    if (!ask) return refuse_frame(request.reply);
    std::lock_guard guard(lock_);
    handle_write(*ask, respond_with<WriteAnswer>(std::move(request.reply)));
    if (turn_requested_) turn();
}

void Control::receive_prepare(Request request) {
    auto ask = unpack<PrepareAsk>(request.body);
    if (!ask) return refuse_frame(request.reply);
    std::lock_guard guard(lock_);
    handle_prepare(*ask, respond_with<PrepareAnswer>(std::move(request.reply)));
    turn();
}

void Control::receive_heartbeat(Request request) {
    auto note = unpack<AliveNote>(request.body);
    if (!note) return refuse_frame(request.reply);
    {
        std::lock_guard guard(lock_);
        handle_heartbeat(*note, steady_now());
    }
    request.reply.send(Response::plain(200));
}

void Control::receive_join(Request request) {
    auto ask = unpack<JoinAsk>(request.body);
    if (!ask) return refuse_frame(request.reply);
    request.reply.send(Response::cbor(pack(JoinAnswer{true})));
    std::lock_guard guard(lock_);
    handle_join(*ask);
    if (turn_requested_) turn();
}

void Control::receive_found(Request request) {
    auto ask = unpack<FoundAsk>(request.body);
    if (!ask) return refuse_frame(request.reply);
    std::lock_guard guard(lock_);
    handle_found(*ask, respond_with<FoundAnswer>(std::move(request.reply)));
    turn();
}

void Control::receive_news_poll(Request request) {
    auto ask = unpack<NewsAsk>(request.body);
    if (!ask) return refuse_frame(request.reply);
    std::lock_guard guard(lock_);
    const Micros now = steady_now();
    news_polls_.push_back({std::move(request.reply), *ask, now, now + std::min(ask->wait, settings_.news_wait_max)});
    news_due_ = 0;
    answer_news(now);
}

void Control::receive_config_text_ask(Request request) {
    auto ask = unpack<ConfigTextAsk>(request.body);
    if (!ask) return refuse_frame(request.reply);
    ConfigTextAnswer answer;
    {
        std::lock_guard guard(lock_);
        answer = config_text(*ask);
    }
    request.reply.send(Response::cbor(pack(answer)));
}

void Control::receive_call(Request request) {
    auto ask = unpack<CallAsk>(request.body);
    if (!ask) return refuse_frame(request.reply);
    std::lock_guard guard(lock_);
    handle_call(*ask, respond_with<CallAnswer>(std::move(request.reply)));
    request_turn();
}

void Control::receive_side_poll(Request request) {
    auto ask = unpack<SideAsk>(request.body);
    if (!ask) return refuse_frame(request.reply);
    std::lock_guard guard(lock_);
    handle_side_poll(std::move(*ask), std::move(request.reply));
    request_turn();
}

}  // namespace calicostall
