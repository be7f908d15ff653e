#include "agent/worker_client.hpp"

namespace calicostall {

void WorkerClient::post(const WorkerInfo& worker, const char* path, const boost::json::object& body, Micros timeout,
                        EventLoop::ResponseHandler on_response) {
    ClientRequest request{.url = "http://" + worker.address + path,
                          .body = boost::json::serialize(body),
                          .content_type = "application/json",
                          .headers = {"X-Expected-Worker: " + worker.worker_id},
                          .timeout = timeout};
    loop_.send(std::move(request), std::move(on_response));
}

void WorkerClient::record_round_trip(Micros sent_at, const ClientResponse& response, Micros now) {
    if (response.outcome == ClientResponse::Outcome::answered) return response_timeout_.record_response(now - sent_at);
    response_timeout_.record_timeout(sent_at, now);
    lossy_until_ = now + lossy_duration_;
}

}  // namespace calicostall
