//! Backend of the admin interface: what operators read and change through this instance.

use std::sync::Arc;

use admin::{
    Backend, BackendError, EndpointStatus, InstanceStatus, LocalInstanceStatus, MetricsSource,
    Operator, Readiness, TableVisitor,
};
use async_trait::async_trait;
use entry::Entry;
use futures::future::join_all;
use names::{InstanceName, LogIndex};
use protocol::{EndpointReport, HistoryRequest, Traffic};
use session::{Heartbeat, MemberState, Offer, Role};
use subtle::ConstantTimeEq;
use table::{Edit, EditOutcome, HistoryEntry, KeyHash, OperatorName, Revision};
use telemetry::Metrics;
use tokio::sync::watch;

use crate::leader_client::LeaderCallError;
use crate::peers::{Peers, context_with_timeout};
use crate::proposer::Proposer;
use crate::published_state::PublishedState;
use crate::settings::Access;
use crate::shard_owners::ShardOwners;

/// Timeout of listing the endpoints of one instance.
const ENDPOINTS_TIMEOUT_MS: u64 = 1_000;

/// Author of edits that are made with the operator key from the settings.
const SETTINGS_OPERATOR: &str = "operator";

/// Retry delay for a call that was not executed.
const RETRY_AFTER_MS: u64 = 1_000;

/// Backend of the admin interface.
pub(crate) struct OperatorBackend {
    pub(crate) access: Access,
    pub(crate) drain: watch::Sender<bool>,
    pub(crate) entry: Arc<Entry>,
    pub(crate) instance: InstanceName,
    pub(crate) peers: Arc<Peers>,
    pub(crate) proposer: Arc<Proposer>,
    pub(crate) published: Arc<PublishedState>,
    pub(crate) shard_owners: Arc<ShardOwners>,
    pub(crate) voters: Vec<InstanceName>,
}

/// Source of the metrics page.
pub(crate) struct MetricsExporter {
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) traffic: Arc<Traffic>,
}

#[async_trait]
impl Backend for OperatorBackend {
    async fn apply_edit(&self, edit: Edit) -> Result<EditOutcome, BackendError> {
        self.proposer.edit(&edit).await.map_err(backend_error)
    }

    async fn authenticate(&self, key: Option<&str>) -> Option<Operator> {
        if let Some(operator) = key.and_then(|key| self.operator_by_key(key)) {
            return Some(operator);
        }
        let permitted = match &self.access {
            Access::Insecure => true,
            Access::Keys { operator_key } => key.is_some_and(|key| keys_equal(key, operator_key)),
        };
        permitted.then(settings_operator)
    }

    async fn drain(&self) -> Result<(), BackendError> {
        self.drain.send_replace(true);
        Ok(())
    }

    async fn endpoints(&self) -> Result<Vec<EndpointStatus>, BackendError> {
        let names: Vec<InstanceName> = {
            let published = self.published.lock();
            published
                .roster
                .members()
                .map(|member| member.name.clone())
                .collect()
        };
        let lists = join_all(names.iter().map(|name| self.endpoints_of(name))).await;
        let mut endpoints: Vec<EndpointStatus> = lists.into_iter().flatten().collect();
        endpoints.sort_by(|a, b| a.name.cmp(&b.name));
        Ok(endpoints)
    }

    async fn history(
        &self,
        before: Revision,
        limit: usize,
    ) -> Result<Vec<HistoryEntry>, BackendError> {
        let request = HistoryRequest {
            before: LogIndex(before.0),
            limit: u32::try_from(limit).unwrap_or(u32::MAX),
        };
        self.proposer.history(request).await.map_err(backend_error)
    }

    async fn instances(&self) -> Result<Vec<InstanceStatus>, BackendError> {
        let mut instances = self.proposer.instances().await.map_err(backend_error)?;
        instances.sort_by(|a, b| a.member.name.cmp(&b.member.name));
        Ok(instances
            .iter()
            .map(|heartbeat| self.instance_status(heartbeat))
            .collect())
    }

    fn readiness(&self) -> Readiness {
        match self.unready_reason() {
            Some(reason) => Readiness::NotReady {
                reason: reason.to_owned(),
            },
            None => Readiness::Ready,
        }
    }

    async fn status(&self) -> Result<LocalInstanceStatus, BackendError> {
        let unready_reason = self.unready_reason();
        let published = self.published.lock();
        Ok(LocalInstanceStatus {
            draining: self.published.is_unready(),
            in_force_revision: published.in_force_revision.0,
            instance: self.instance.to_string(),
            leader: published.leader.as_ref().map(ToString::to_string),
            queued_requests: 0,
            ready: unready_reason.is_none(),
            ready_reason: unready_reason.map(str::to_owned),
            revision: published.table_view.revision().0,
            running_requests: self.entry.running_requests() as u64,
            term: published.roster.epoch(),
            version: env!("CARGO_PKG_VERSION").to_owned(),
        })
    }

    async fn stored_outcome(&self, _: &Edit) -> Result<Option<EditOutcome>, BackendError> {
        // The leader looks up the stored outcome when the edit reaches it.
        Ok(None)
    }

    async fn visit_table(&self, visitor: &mut dyn TableVisitor) -> Result<(), BackendError> {
        let published = self.published.lock();
        visitor.visit(
            published.table_view.items(),
            published.table_view.revision(),
        );
        Ok(())
    }

    async fn wait_in_force(&self, revision: Revision) -> Result<(), BackendError> {
        let mut changes = self.published.changes();
        while self.published.lock().in_force_revision.0 < revision.0 {
            changes
                .changed()
                .await
                .expect("the published state outlives its receivers");
        }
        Ok(())
    }
}

impl OperatorBackend {
    async fn endpoints_of(&self, name: &InstanceName) -> Vec<EndpointStatus> {
        let reports = if *name == self.instance {
            self.shard_owners.endpoints().await
        } else {
            let Ok(client) = self.peers.client(name).await else {
                return Vec::new();
            };
            // Endpoints of an instance that does not answer in time are left out.
            let endpoints = client
                .endpoints(context_with_timeout(ENDPOINTS_TIMEOUT_MS))
                .await;
            endpoints.unwrap_or_default()
        };
        reports
            .iter()
            .map(|report| endpoint_status(name, report))
            .collect()
    }

    fn instance_status(&self, heartbeat: &Heartbeat) -> InstanceStatus {
        let member = &heartbeat.member;
        let voting = if self.voters.contains(&member.name) {
            "voter"
        } else {
            "none"
        };
        let state = match member.state {
            MemberState::Draining => "draining",
            MemberState::Serving => "ready",
        };
        InstanceStatus {
            address: member.inner_address.to_string(),
            data_centre: member.data_centre.to_string(),
            heard_ms_ago: heartbeat.age_ms,
            incarnation: member.incarnation.0,
            name: member.name.to_string(),
            region: member.region.to_string(),
            revision: heartbeat.applied_revision.0,
            roles: member
                .roles
                .iter()
                .map(|role| role_name(*role).to_owned())
                .collect(),
            state: state.to_owned(),
            voting: voting.to_owned(),
        }
    }

    fn operator_by_key(&self, key: &str) -> Option<Operator> {
        self.published.with_table(|items| {
            items.operator_by_key(key).map(|operator_key| Operator {
                name: operator_key.operator.clone(),
                role: operator_key.role,
            })
        })
    }

    fn unready_reason(&self) -> Option<&'static str> {
        if self.published.is_unready() || !self.entry.is_ready() {
            return Some("draining");
        }
        (!self.published.has_live_lease()).then_some("no live configuration lease")
    }
}

impl MetricsSource for MetricsExporter {
    fn prometheus_text(&self) -> String {
        self.metrics.set_traffic_between_instances(
            self.traffic.received_bytes(),
            self.traffic.sent_bytes(),
        );
        self.metrics
            .scrape()
            .unwrap_or_else(|error| format!("# {error}\n"))
    }
}

fn backend_error(failure: LeaderCallError) -> BackendError {
    let reason = failure.to_string();
    match failure {
        LeaderCallError::NotExecuted => BackendError::Unavailable {
            reason,
            retry_after_ms: RETRY_AFTER_MS,
        },
        LeaderCallError::Unknown => BackendError::Unknown { reason },
    }
}

fn endpoint_status(owner: &InstanceName, report: &EndpointReport) -> EndpointStatus {
    let announcement = &report.announcement;
    let load = announcement.report.clone().unwrap_or_default();
    let (memory_tokens, offer) = match &announcement.offer {
        Offer::Engine(engine) => (
            engine.memory_tokens,
            format!("{} {}", engine.model, engine.version),
        ),
        Offer::Service(service) => (0, service.name.to_string()),
    };
    let state = if announcement.accepts_work() {
        "ready"
    } else {
        "leaving"
    };
    EndpointStatus {
        address: announcement.address.to_string(),
        data_centre: announcement.data_centre.to_string(),
        heard_ms_ago: report.age_ms,
        memory_tokens,
        memory_used_tokens: load.memory_used_tokens,
        name: report.endpoint.to_string(),
        offer,
        owner: owner.to_string(),
        region: announcement.region.to_string(),
        running: u64::from(load.running),
        state: state.to_owned(),
        waiting: u64::from(load.waiting),
    }
}

/// Compares hashes in constant time, so that the duration reveals nothing about the key.
fn keys_equal(key: &str, expected: &str) -> bool {
    KeyHash::of(key).0.ct_eq(&KeyHash::of(expected).0).into()
}

fn role_name(role: Role) -> &'static str {
    match role {
        Role::Control => "control",
        Role::Dispatch => "dispatch",
        Role::Entry => "entry",
    }
}

fn settings_operator() -> Operator {
    Operator {
        name: OperatorName::new(SETTINGS_OPERATOR).expect("the constant is a valid name"),
        role: table::Role::Operate,
    }
}
