//! Constructs the components of an instance and connects them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use claims::Claimant;
use control::GroupHandle;
use entry::Entry;
use entry::dependencies::Dependencies;
use names::Incarnation;
use protocol::{Listener, Traffic};
use rand::RngExt;
use session::{Member, MemberState};
use slog::Logger;
use telemetry::Metrics;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::announcements::AnnouncementServer;
use crate::clock::{Clock, unix_ms};
use crate::directory::PublishedDirectory;
use crate::drainer::Drainer;
use crate::error::Error;
use crate::held_permits::HeldPermits;
use crate::inner_server::InnerServer;
use crate::leader_client::LeaderClient;
use crate::observer::MetricsObserver;
use crate::operators::{MetricsExporter, OperatorBackend};
use crate::peers::Peers;
use crate::permit_client::PermitClient;
use crate::permit_reporter::PermitReporter;
use crate::proposer::Proposer;
use crate::published_state::PublishedState;
use crate::replicated_claims::ReplicatedClaims;
use crate::settings::Settings;
use crate::shard_owners::ShardOwners;
use crate::shard_planner::ShardPlanner;
use crate::shard_router::ShardRouter;
use crate::state::SharedReplicatedState;
use crate::state_publisher::StatePublisher;
use crate::subscription::Subscription;
use crate::transport::PeerTransport;

/// Random low bits of an incarnation; the bits above are the milliseconds since 1970.
const INCARNATION_RANDOM_BITS: u32 = 12;

/// Components that the tasks of an instance share.
pub(crate) struct Components {
    clock: Clock,
    control: Option<Arc<GroupHandle>>,
    draining: Arc<AtomicBool>,
    held_permits: Arc<HeldPermits>,
    log: Logger,
    member: Member,
    metrics: Arc<Metrics>,
    peers: Arc<Peers>,
    proposer: Arc<Proposer>,
    published: Arc<PublishedState>,
    shard_owners: Arc<ShardOwners>,
    shard_router: Arc<ShardRouter>,
    state_publisher: Arc<StatePublisher>,
}

impl Components {
    /// Constructs the components, and opens the replicated state if the instance has a data folder.
    ///
    /// # Errors
    ///
    /// Fails if the replicated state or the metrics cannot be opened.
    pub(crate) fn open(
        settings: &Settings,
        inner_address: SocketAddr,
        traffic: &Arc<Traffic>,
    ) -> Result<Self, Error> {
        let Settings {
            fleet_key,
            log,
            name,
            peers,
            voters,
            ..
        } = settings;
        let clock = Clock::start();
        let member = member(settings, inner_address);
        let published = Arc::new(PublishedState::new(clock));
        let peers = Arc::new(Peers::new(peers, fleet_key, &published, traffic));
        let state = SharedReplicatedState::default();
        let control = open_control(settings, &state, &peers)?;
        let state_publisher =
            StatePublisher::new(name, control.as_ref(), &state, &published, clock, log);
        let state_publisher = Arc::new(state_publisher);
        let leader_client = LeaderClient::new(name, &published, &peers, voters);
        let proposer = Proposer::new(control.clone(), leader_client, &state_publisher, &state);
        let draining = Arc::new(AtomicBool::new(false));
        let shard_owners =
            ShardOwners::spawn(name, member.incarnation, &published, &draining, clock, log);
        let shard_router = Arc::new(ShardRouter::new(name, &shard_owners, &peers));
        Ok(Self {
            clock,
            control,
            draining,
            held_permits: Arc::new(HeldPermits::default()),
            log: log.clone(),
            member,
            metrics: Arc::new(Metrics::new()?),
            peers,
            proposer: Arc::new(proposer),
            published,
            shard_owners,
            shard_router,
            state_publisher,
        })
    }

    /// Implementations of the interfaces that the entry depends on.
    pub(crate) fn dependencies(&self, settings: &Settings) -> Dependencies {
        let claimant = Claimant {
            incarnation: self.member.incarnation,
            instance: self.member.name.clone(),
        };
        Dependencies {
            claims: Arc::new(ReplicatedClaims::new(claimant, &self.proposer)),
            directory: Arc::new(PublishedDirectory {
                access: settings.access.clone(),
                published: Arc::clone(&self.published),
            }),
            observer: Arc::new(MetricsObserver {
                metrics: Arc::clone(&self.metrics),
                region: settings.region.clone(),
            }),
            permits: Arc::new(PermitClient {
                held_permits: Arc::clone(&self.held_permits),
                instance: self.member.name.clone(),
                published: Arc::clone(&self.published),
                region: settings.region.clone(),
                shard_router: Arc::clone(&self.shard_router),
            }),
        }
    }

    /// Task that waits for `drain` and then carries out the planned stop.
    pub(crate) fn drainer(
        &self,
        settings: &Settings,
        entry: &Arc<Entry>,
        drain: &watch::Sender<bool>,
        drained: watch::Sender<bool>,
    ) -> Drainer {
        Drainer {
            control: self.control.clone(),
            drain: drain.subscribe(),
            drain_wait_ms: settings.drain_wait_ms,
            drained,
            draining: Arc::clone(&self.draining),
            entry: Arc::clone(entry),
            held_permits: Arc::clone(&self.held_permits),
            log: self.log.clone(),
            member: self.member.clone(),
            published: Arc::clone(&self.published),
            voters: settings.voters.clone(),
        }
    }

    /// Source of the metrics page.
    pub(crate) fn metrics_exporter(&self, traffic: &Arc<Traffic>) -> MetricsExporter {
        MetricsExporter {
            metrics: Arc::clone(&self.metrics),
            traffic: Arc::clone(traffic),
        }
    }

    /// Backend of the admin interface.
    pub(crate) fn operator_backend(
        &self,
        settings: &Settings,
        entry: &Arc<Entry>,
        drain: &watch::Sender<bool>,
    ) -> OperatorBackend {
        OperatorBackend {
            access: settings.access.clone(),
            drain: drain.clone(),
            entry: Arc::clone(entry),
            instance: self.member.name.clone(),
            peers: Arc::clone(&self.peers),
            proposer: Arc::clone(&self.proposer),
            published: Arc::clone(&self.published),
            shard_owners: Arc::clone(&self.shard_owners),
            voters: settings.voters.clone(),
        }
    }

    /// Starts all tasks; they stop when the set is dropped.
    pub(crate) fn spawn(
        self,
        settings: &Settings,
        inner_listener: Listener,
        announcement_listener: TcpListener,
        drainer: Drainer,
    ) -> JoinSet<()> {
        let mut tasks = JoinSet::new();
        tasks.spawn(
            self.announcement_server(settings)
                .run(announcement_listener),
        );
        tasks.spawn(self.inner_server().run(inner_listener));
        tasks.spawn(self.shard_planner().run());
        tasks.spawn(self.permit_reporter().run());
        tasks.spawn(self.subscription(settings).run());
        tasks.spawn(drainer.run());
        tasks
    }

    fn announcement_server(&self, settings: &Settings) -> AnnouncementServer {
        AnnouncementServer {
            log: self.log.clone(),
            published: Arc::clone(&self.published),
            shard_router: Arc::clone(&self.shard_router),
            shards_per_offer: settings.shards_per_offer,
        }
    }

    fn inner_server(&self) -> InnerServer {
        InnerServer {
            control: self.control.clone(),
            log: self.log.clone(),
            proposer: Arc::clone(&self.proposer),
            shard_owners: Arc::clone(&self.shard_owners),
            shard_router: Arc::clone(&self.shard_router),
            state_publisher: Arc::clone(&self.state_publisher),
        }
    }

    fn permit_reporter(&self) -> PermitReporter {
        PermitReporter {
            held_permits: Arc::clone(&self.held_permits),
            instance: self.member.name.clone(),
            published: Arc::clone(&self.published),
            shard_router: Arc::clone(&self.shard_router),
        }
    }

    fn shard_planner(&self) -> ShardPlanner {
        ShardPlanner {
            clock: self.clock,
            log: self.log.clone(),
            proposer: Arc::clone(&self.proposer),
            published: Arc::clone(&self.published),
            state_publisher: Arc::clone(&self.state_publisher),
        }
    }

    fn subscription(&self, settings: &Settings) -> Subscription {
        Subscription {
            clock: self.clock,
            draining: Arc::clone(&self.draining),
            log: self.log.clone(),
            member: self.member.clone(),
            metrics: Arc::clone(&self.metrics),
            peers: Arc::clone(&self.peers),
            published: Arc::clone(&self.published),
            state_publisher: Arc::clone(&self.state_publisher),
            voters: settings.voters.clone(),
        }
    }
}

/// Number that grows with each process start; random bits separate two starts in one millisecond.
fn new_incarnation() -> Incarnation {
    let random: u64 = rand::rng().random_range(0..1 << INCARNATION_RANDOM_BITS);
    Incarnation((unix_ms() << INCARNATION_RANDOM_BITS) | random)
}

fn member(settings: &Settings, inner_address: SocketAddr) -> Member {
    Member {
        data_centre: settings.data_centre.clone(),
        incarnation: new_incarnation(),
        inner_address: settings.inner_advertised.unwrap_or(inner_address),
        name: settings.name.clone(),
        region: settings.region.clone(),
        roles: settings.roles.clone(),
        start_nonce: rand::rng().random(),
        state: MemberState::Serving,
    }
}

fn open_control(
    settings: &Settings,
    state: &SharedReplicatedState,
    peers: &Arc<Peers>,
) -> Result<Option<Arc<GroupHandle>>, Error> {
    let Some(data_folder) = &settings.data_folder else {
        return Ok(None);
    };
    let transport = PeerTransport::new(&settings.name, peers, &settings.log);
    let control = GroupHandle::open(
        control::Settings::new(
            data_folder,
            settings.name.clone(),
            settings.voters.clone(),
            settings.log.clone(),
        ),
        Box::new(state.clone()),
        Arc::new(transport),
    )?;
    Ok(Some(Arc::new(control)))
}
