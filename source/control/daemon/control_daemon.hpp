// The role `control` on one machine: it joins the pure protocols (control/detector, control/store, control/membership,
// control/jobs) to the network, the disk and the clock.
//
// What has a state of its own is a component: Leadership, MembershipTracker, BootstrapCoordinator, AgentPollService,
// CallService, ClusterStateWatch, SnapshotService, RequestRouter and IterationScheduler. The daemon owns them and the
// protocols, and one mutex under which all of them work. What ties them together has a file for each concern:
//   control_daemon.cpp      opening
//   routes.cpp              requests by path
//   iterations.cpp          the order in which everything happens in an iteration, and when the next one is due
//   election.cpp            heartbeats, becoming and ceasing to be leader, the agreed time
//   discovery.cpp           the leader and the daemons outside the membership find each other
//   membership.cpp          who belongs to the cluster: learning of changes, joining, carrying changes out
//   store_messages.cpp      what leader and replicas send each other, and the disk
//   cluster_state.cpp       what watches are told
//   graceful_shutdown.cpp   a planned stop
#pragma once
#include "common.hpp"
#include "control/clock/quorum_clock.hpp"
#include "control/daemon/agent_poll_service.hpp"
#include "control/daemon/bootstrap_coordinator.hpp"
#include "control/daemon/call_service.hpp"
#include "control/daemon/cluster_state_watch.hpp"
#include "control/daemon/iteration_scheduler.hpp"
#include "control/daemon/leadership.hpp"
#include "control/daemon/membership_tracker.hpp"
#include "control/daemon/published_config.hpp"
#include "control/daemon/record_ledger.hpp"
#include "control/daemon/request_router.hpp"
#include "control/daemon/settings.hpp"
#include "control/daemon/snapshot_service.hpp"
#include "control/detector/detector.hpp"
#include "control/detector/election.hpp"
#include "control/detector/graceful_shutdown.hpp"
#include "control/detector/self_suspicion.hpp"
#include "control/membership/daemon_directory.hpp"
#include "control/membership/membership_manager.hpp"
#include "control/membership/registration.hpp"
#include "control/store/disk.hpp"
#include "control/store/leader.hpp"
#include "control/store/replica.hpp"
#include "shared/discovery/leader_locator.hpp"
#include "shared/http/event_loop.hpp"
#include "shared/http/listener.hpp"
#include "shared/wire/config_text_messages.hpp"
#include "shared/wire/discovery_messages.hpp"
#include "shared/wire/graceful_shutdown_messages.hpp"
#include "shared/wire/heartbeat_message.hpp"
#include "shared/wire/join_messages.hpp"

namespace calicostall {

// Example: ControlDaemon daemon(settings, loop); if (Findings findings = daemon.open(); findings.empty()) loop.run();
// All public members may be called from any thread.
class ControlDaemon : private IterationClient {
public:
    ControlDaemon(ControlSettings settings, EventLoop& loop);

    // Opens disk and listeners; returns what went wrong.
    Findings open();
    // A planned stop. A leader hands over in order, a follower waits until a majority without it has everything; then
    // the others are told, and after a moment `on_complete` is called.
    void begin_graceful_shutdown(std::function<void()> on_complete);
    // Takes over what may change while the process runs: the seeds.
    void apply_settings(const Settings& machine);

private:
    using PrepareCallback = std::function<void(PrepareResponse)>;
    using WriteCallback = std::function<void(WriteResponse)>;

    // --- control_daemon.cpp ---
    std::string describe_start() const;
    void open_listeners(Findings& findings);
    std::unique_ptr<Listener> open_listener(const std::string& address, size_t max_body_bytes, const char* setting,
                                            const RequestRouter& router, Findings& findings);

    // --- routes.cpp ---
    void add_internal_routes();
    void add_store_routes();
    void add_membership_routes();
    void add_cluster_state_routes();
    void add_operator_routes();
    void on_operator_request(Request request);

    // --- iterations.cpp ---
    void run_iteration(Micros now) override;
    void respond_to_waiting() override;
    Micros next_due_at(Micros now) override;
    bool is_proposing() const override { return leader_.leading(); }
    void on_timer_fired(Micros lateness, Micros now) override;
    // Asks a majority again whether this daemon is still the leader, when their last responses are too old.
    void confirm_leadership(Micros now);
    void log_counters(Micros now);

    // --- election.cpp ---
    void run_election(Micros now);
    void log_election(const ElectionStep& step, size_t trusted_before) const;
    void log_trusted_rank(size_t trusted_before) const;
    void on_heartbeat(const LeaderHeartbeat& heartbeat, Micros now);
    void send_heartbeat(size_t rank, bool is_shutting_down);
    void begin_leadership(Micros now);
    void end_leadership();
    void update_known_leader(Term term, const std::string& address);
    // Agrees on the time of day anew from the clocks heard.
    void agree_on_time(Micros now);
    void log_clock_event(const ClockEvent& event) const;

    // --- membership.cpp ---
    // Reads the membership from the replica when it has changed.
    void refresh_membership(Micros now);
    void apply_membership(const Register& value, Micros now);
    // Whether the own replica may grant a term to the candidate.
    bool may_grant_vote(ReplicaId candidate, Micros now) const;
    std::vector<std::string> known_replica_addresses() const;
    std::set<std::string> join_addresses() const;
    void notice_removal();
    void locate_membership(Micros now);
    // Begins to watch other daemons, unless it does so already.
    void start_leader_locator(std::vector<std::string> seeds);
    void on_located();
    void request_join(Micros now);
    void on_join_request(const JoinRequest& request);
    void maintain_membership(Micros now);
    void maintain_learners(Micros now);

    // --- discovery.cpp ---
    void add_discovery_routes();
    void begin_directory(Micros now);
    void on_registration_request(const RegistrationRequest& request, Micros now);
    void maintain_directory(Micros now);
    void announce_leadership(Micros now);
    void on_leader_announcement(const LeaderAnnouncement& announcement, Micros now);
    void register_with_leader(Micros now);

    // --- store_messages.cpp ---
    void send_store_messages(Micros now);
    void send_store_message(OutgoingMessage message);
    template <class StoreResponse>
    void on_store_response(std::uint64_t request_id, const ClientResponse& response, Term term, ReplicaId member,
                           Micros requested_at);
    void send_to_own_replica(OutgoingMessage message);
    // What a member's response tells of the time of day.
    void record_clock(const PrepareResponse& response, Term term, ReplicaId member, Micros requested_at, Micros now);
    void record_clock(const WriteResponse& response, Term term, ReplicaId member, Micros requested_at, Micros now);
    void on_prepare_request(const PrepareRequest& request, PrepareCallback respond);
    void on_write_request(const WriteRequest& request, WriteCallback respond);
    void on_write_granted(const WriteRequest& request);

    // --- cluster_state.cpp ---
    void respond_to_watches(Micros now);
    WatchResponse watch_response(const PublishedConfig& config, bool is_in_contact) const;
    ConfigTextResponse config_text_response(const ConfigTextRequest& request);
    PublishedConfig published_config();
    // Whether this daemon is in contact with the majority: as leader by its responses, as a follower by the leader's
    // writes, outside the membership by the cluster-state watch.
    bool is_in_contact(Micros now) const;
    void adopt_located_membership();

    // --- graceful_shutdown.cpp ---
    void prepare_shutdown();
    void request_shutdown(const std::string& leader);
    void on_shutdown_response(GracefulShutdown::Phase phase, const std::optional<GracefulShutdownResponse>& response);
    void announce_shutdown();
    void release_waiting_requests();
    GracefulShutdownResponse shutdown_response(const GracefulShutdownRequest& request);

    ControlSettings settings_;
    EventLoop& loop_;
    std::recursive_mutex mutex_;

    // The protocols.
    Replica replica_;
    Disk disk_;
    Detector detector_;
    Leader leader_;
    Election election_;
    SelfSuspicion suspicion_;
    QuorumClock quorum_clock_;
    DaemonDirectory directory_;                            // while leading
    Registration registration_;                            // while outside the membership
    std::optional<MembershipManager> membership_manager_;  // from the opening of the disk on

    // The components.
    Leadership leadership_;
    IterationScheduler iterations_;
    RecordLedger ledger_;
    Scheduler<RecordLedger> scheduler_;
    MembershipTracker membership_;
    BootstrapCoordinator bootstrap_;
    AgentPollService agents_;
    CallService calls_;
    ClusterStateWatch watch_;
    PublishedConfigReader config_reader_;
    SnapshotService snapshots_;
    RequestRouter internal_router_, operator_router_;
    std::unique_ptr<Listener> internal_listener_, operator_listener_;

    // Outside the membership: what the cluster-state watch of other daemons tells.
    std::unique_ptr<LeaderLocator> leader_locator_;
    std::vector<std::string> located_members_;
    Micros next_join_at_ = 0;

    // A planned stop.
    GracefulShutdown graceful_shutdown_;
    bool is_shutdown_announced_ = false;
    std::function<void()> on_shutdown_complete_;

    Micros confirmation_requested_at_ = 0;
    Micros counters_logged_at_ = 0;
};

}  // namespace calicostall
