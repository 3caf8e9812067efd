//! Reports crashes and sound answers to the registries, and follows the parts that they quarantine.

use std::net::SocketAddr;

use futures::future::join_all;
use slog::{debug, info, warn};

use super::{Subscriber, SubscriberState, Subscription};
use crate::connection::call_context;
use crate::rpc::PollAnswer;
use crate::{Accusation, PartAdmission, PartReport, PartState, PublishedPart, time_since_boot_ms};

/// Time limit for a report to one registry: four round trips between regions. The next report waits
/// for it.
const REPORT_TIMEOUT_MS: u64 = 100;

/// Time limit for the grant of a probe: four round trips between regions.
const PROBE_TIMEOUT_MS: u64 = 100;

impl Subscription {
    /// Whether a request with these parts of its prompt may run.
    #[must_use]
    pub fn part_admission(&self, parts: &[u64]) -> PartAdmission {
        let state = self.subscriber.lock();
        state.part_view.admission(time_since_boot_ms(), parts)
    }

    /// Those of a request's parts whose sound answers registries want to know.
    #[must_use]
    pub fn accused_parts(&self, parts: &[u64]) -> Vec<u64> {
        self.subscriber.lock().part_view.accused(parts)
    }

    /// Reports crashes and sound answers to all connected registries; each decides on its own, so
    /// that any of them may be lost.
    ///
    /// # Panics
    ///
    /// Panics if memory runs out.
    pub async fn report_parts(&self, accusations: Vec<Accusation>, sound_parts: Vec<u64>) {
        let report = PartReport {
            accusations,
            instance: self.subscriber.settings.instance.clone(),
            sound_parts,
        };
        let report = postcard::to_stdvec(&report).expect("a report can be encoded");
        let registries = self.subscriber.connected_registries();
        let reports = registries
            .iter()
            .filter_map(|connection| Some((connection, connection.connected_client()?)))
            .map(async |(connection, client)| {
                let context = call_context(REPORT_TIMEOUT_MS);
                if let Err(error) = client.report_parts(context, report.clone()).await {
                    debug!(self.subscriber.log, "prompt parts not reported";
                        "registry" => %connection.address(), "error" => %error);
                }
            });
        join_all(reports).await;
    }

    /// Requests a probe of a request's parts from one registry; `false` if it doesn't answer in
    /// time.
    pub async fn request_probe(&self, parts: &[u64]) -> bool {
        let connection = self.subscriber.aggregating_registry();
        let Some(client) = connection.and_then(|connection| connection.connected_client()) else {
            return false;
        };
        let context = call_context(PROBE_TIMEOUT_MS);
        match client.grant_probe(context, parts.to_vec()).await {
            Ok(is_granted) => is_granted,
            Err(error) => {
                debug!(self.subscriber.log, "probe not granted"; "error" => %error);
                false
            }
        }
    }
}

impl Subscriber {
    /// Applies the accused parts of an answer.
    pub(super) fn apply_parts(
        &self,
        state: &mut SubscriberState,
        registry: SocketAddr,
        answer: &PollAnswer,
    ) {
        let Some(encoded) = &answer.parts else {
            state.part_view.connect(registry);
            return;
        };
        match postcard::from_bytes::<Vec<PublishedPart>>(encoded) {
            Ok(parts) => {
                let position = (answer.directory_epoch, answer.parts_version);
                let view = &mut state.part_view;
                view.update(time_since_boot_ms(), registry, position, &parts);
                let is_quarantined = |part: &&PublishedPart| part.state != PartState::Watched;
                let quarantined = parts.iter().filter(is_quarantined).count();
                if quarantined > 0 {
                    info!(self.log, "quarantined prompt parts received"; "registry" => %registry,
                        "parts" => quarantined, "version" => answer.parts_version);
                }
            }
            Err(error) => {
                // The version stays, so the next poll requests them again.
                warn!(self.log, "prompt parts not decoded"; "registry" => %registry,
                    "error" => %error);
            }
        }
    }
}
