//! Puts the parts of an instance together.

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
use crate::claiming::LoggedClaims;
use crate::clock::{Clock, unix_ms};
use crate::directory::HeldDirectory;
use crate::drainer::Drainer;
use crate::error::Error;
use crate::holdings::Holdings;
use crate::inner_server::InnerServer;
use crate::leader::Leader;
use crate::observer::MetricsObserver;
use crate::operators::{Operators, Scrape};
use crate::owners::Owners;
use crate::peers::Peers;
use crate::permit_book::PermitBook;
use crate::permits::ShardPermits;
use crate::planning::Planning;
use crate::proposer::Proposer;
use crate::publication::Publication;
use crate::reporter::Reporter;
use crate::router::Router;
use crate::settings::Settings;
use crate::state::SharedState;
use crate::subscription::Subscription;
use crate::transport::PeerTransport;

/// Random low bits of an incarnation, below the milliseconds since 1970.
const INCARNATION_RANDOM_BITS: u32 = 12;

/// Parts that the tasks of an instance share.
pub(crate) struct Parts {
    book: Arc<PermitBook>,
    clock: Clock,
    control: Option<Arc<GroupHandle>>,
    draining: Arc<AtomicBool>,
    holdings: Arc<Holdings>,
    log: Logger,
    member: Member,
    metrics: Arc<Metrics>,
    owners: Arc<Owners>,
    peers: Arc<Peers>,
    proposer: Arc<Proposer>,
    publication: Arc<Publication>,
    router: Arc<Router>,
}

impl Parts {
    /// Opens the replicated state, if the instance has a data folder, and joins the parts.
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
        let holdings = Arc::new(Holdings::new(clock));
        let peers = Arc::new(Peers::new(peers, fleet_key, &holdings, traffic));
        let state = SharedState::default();
        let control = open_control(settings, &state, &peers)?;
        let publication = Publication::new(name, control.as_ref(), &state, &holdings, clock, log);
        let publication = Arc::new(publication);
        let leader = Leader::new(name, &holdings, &peers, voters);
        let proposer = Proposer::new(control.clone(), leader, &publication, &state);
        let draining = Arc::new(AtomicBool::new(false));
        let owners = Owners::spawn(name, member.incarnation, &holdings, &draining, clock, log);
        let router = Arc::new(Router::new(name, &owners, &peers));
        Ok(Self {
            book: Arc::new(PermitBook::default()),
            clock,
            control,
            draining,
            holdings,
            log: log.clone(),
            member,
            metrics: Arc::new(Metrics::new()?),
            owners,
            peers,
            proposer: Arc::new(proposer),
            publication,
            router,
        })
    }

    /// What the entry asks of the rest of the instance.
    pub(crate) fn dependencies(&self, settings: &Settings) -> Dependencies {
        let claimant = Claimant {
            incarnation: self.member.incarnation,
            instance: self.member.name.clone(),
        };
        Dependencies {
            claims: Arc::new(LoggedClaims::new(claimant, &self.proposer)),
            directory: Arc::new(HeldDirectory {
                access: settings.access.clone(),
                holdings: Arc::clone(&self.holdings),
            }),
            observer: Arc::new(MetricsObserver {
                metrics: Arc::clone(&self.metrics),
                region: settings.region.clone(),
            }),
            permits: Arc::new(ShardPermits {
                book: Arc::clone(&self.book),
                holdings: Arc::clone(&self.holdings),
                instance: self.member.name.clone(),
                region: settings.region.clone(),
                router: Arc::clone(&self.router),
            }),
        }
    }

    /// Carries out a planned stop once it is asked for.
    pub(crate) fn drainer(
        &self,
        settings: &Settings,
        entry: &Arc<Entry>,
        drain: &watch::Sender<bool>,
        drained: watch::Sender<bool>,
    ) -> Drainer {
        Drainer {
            book: Arc::clone(&self.book),
            control: self.control.clone(),
            drain: drain.subscribe(),
            drain_wait_ms: settings.drain_wait_ms,
            drained,
            draining: Arc::clone(&self.draining),
            entry: Arc::clone(entry),
            holdings: Arc::clone(&self.holdings),
            log: self.log.clone(),
            member: self.member.clone(),
            voters: settings.voters.clone(),
        }
    }

    /// The instance as operators see it.
    pub(crate) fn operators(
        &self,
        settings: &Settings,
        entry: &Arc<Entry>,
        drain: &watch::Sender<bool>,
    ) -> Operators {
        Operators {
            access: settings.access.clone(),
            drain: drain.clone(),
            entry: Arc::clone(entry),
            holdings: Arc::clone(&self.holdings),
            instance: self.member.name.clone(),
            owners: Arc::clone(&self.owners),
            peers: Arc::clone(&self.peers),
            proposer: Arc::clone(&self.proposer),
            voters: settings.voters.clone(),
        }
    }

    /// The metrics of the instance.
    pub(crate) fn scrape(&self, traffic: &Arc<Traffic>) -> Scrape {
        Scrape {
            metrics: Arc::clone(&self.metrics),
            traffic: Arc::clone(traffic),
        }
    }

    /// Starts all tasks; they end when the set is dropped.
    pub(crate) fn spawn(
        self,
        settings: &Settings,
        inner: Listener,
        endpoints: TcpListener,
        drainer: Drainer,
    ) -> JoinSet<()> {
        let mut tasks = JoinSet::new();
        tasks.spawn(self.announcements(settings).run(endpoints));
        tasks.spawn(self.inner_server().run(inner));
        tasks.spawn(self.planning().run());
        tasks.spawn(self.reporter().run());
        tasks.spawn(self.subscription(settings).run());
        tasks.spawn(drainer.run());
        tasks
    }

    fn announcements(&self, settings: &Settings) -> AnnouncementServer {
        AnnouncementServer {
            holdings: Arc::clone(&self.holdings),
            log: self.log.clone(),
            router: Arc::clone(&self.router),
            shards_per_offer: settings.shards_per_offer,
        }
    }

    fn inner_server(&self) -> InnerServer {
        InnerServer {
            control: self.control.clone(),
            log: self.log.clone(),
            owners: Arc::clone(&self.owners),
            proposer: Arc::clone(&self.proposer),
            publication: Arc::clone(&self.publication),
            router: Arc::clone(&self.router),
        }
    }

    fn planning(&self) -> Planning {
        Planning {
            clock: self.clock,
            holdings: Arc::clone(&self.holdings),
            log: self.log.clone(),
            proposer: Arc::clone(&self.proposer),
            publication: Arc::clone(&self.publication),
        }
    }

    fn reporter(&self) -> Reporter {
        Reporter {
            book: Arc::clone(&self.book),
            holdings: Arc::clone(&self.holdings),
            instance: self.member.name.clone(),
            router: Arc::clone(&self.router),
        }
    }

    fn subscription(&self, settings: &Settings) -> Subscription {
        Subscription {
            clock: self.clock,
            draining: Arc::clone(&self.draining),
            holdings: Arc::clone(&self.holdings),
            log: self.log.clone(),
            member: self.member.clone(),
            metrics: Arc::clone(&self.metrics),
            peers: Arc::clone(&self.peers),
            publication: Arc::clone(&self.publication),
            voters: settings.voters.clone(),
        }
    }
}

/// A number that grows with each start and differs between two starts in one millisecond.
fn incarnation() -> Incarnation {
    let random: u64 = rand::rng().random_range(0..1 << INCARNATION_RANDOM_BITS);
    Incarnation((unix_ms() << INCARNATION_RANDOM_BITS) | random)
}

fn member(settings: &Settings, inner_address: SocketAddr) -> Member {
    Member {
        data_centre: settings.data_centre.clone(),
        incarnation: incarnation(),
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
    state: &SharedState,
    peers: &Arc<Peers>,
) -> Result<Option<Arc<GroupHandle>>, Error> {
    let Some(folder) = &settings.data_folder else {
        return Ok(None);
    };
    let transport = PeerTransport::new(&settings.name, peers, &settings.log);
    let control = GroupHandle::open(
        control::Settings::new(
            folder,
            settings.name.clone(),
            settings.voters.clone(),
            settings.log.clone(),
        ),
        Box::new(state.clone()),
        Arc::new(transport),
    )?;
    Ok(Some(Arc::new(control)))
}
