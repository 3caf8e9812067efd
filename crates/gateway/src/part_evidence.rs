//! Relates crashes of endpoints and sound answers to the parts of the prompts that ran there, and
//! refuses requests whose parts crash endpoints.
//!
//! A request accuses its parts if the connection of its attempt failed after it was sent, and the
//! request has not proved sound. It proves sound with a complete answer, or once its stream has
//! gone on for a while. A prompt that crashes its endpoint does so when the answer begins.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use registry::{Accusation, AccusingEndpoint, PartAdmission};
use slog::{info, warn};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep};

use crate::endpoint::Endpoint;
use crate::gateway_state::GatewayState;
use crate::handler::RoutedRequest;
use crate::outcome::RequestError;
use crate::retry_after_schedule::RETRY_AFTER_MS_MAX;

/// Time after the first event after which a stream that goes on proves its parts sound.
const SOUND_STREAM_MS: u64 = 1_000;

/// Time for which crashes and sound answers are batched, beside the seconds between two crashes.
const REPORT_INTERVAL_MS: u64 = 20;

/// Shortest interval between two reports that a part is sound.
const SOUND_REPORT_INTERVAL_MS: u64 = 250;

/// Crashes and sound answers that wait for a report.
const QUEUED_REPORTS_MAX: usize = 4_096;

/// Time after an answer that ended with its connection after which its endpoint must still be there;
/// one that crashes closes its listener with its connections.
const CONNECTION_END_CHECK_MS: u64 = 200;

/// Time after which a client may retry if the probe of its prompt is not granted; probes take as
/// long as an answer takes to begin.
const PROBE_RETRY_AFTER_MS: u64 = 2_000;

/// What one request shows of its prompt's parts.
#[derive(Debug, Default)]
pub(crate) struct PartEvidence {
    /// Whether a registry granted the request a probe that it has not used.
    holds_probe: AtomicBool,
    is_sound: AtomicBool,
}

/// Progress of a stream at one endpoint.
#[derive(Debug, Default)]
pub(crate) struct StreamRun {
    begun_at: Option<Instant>,
    events: u64,
}

/// Report of one request.
#[derive(Debug)]
pub(crate) enum RunReport {
    Crashed(Accusation),
    Sound(Vec<u64>),
}

/// Sender of reports to [`report_parts`].
#[derive(Debug)]
pub(crate) struct PartReporter(mpsc::Sender<RunReport>);

impl PartReporter {
    pub(crate) fn new() -> (Self, mpsc::Receiver<RunReport>) {
        let (sender, receiver) = mpsc::channel(QUEUED_REPORTS_MAX);
        (Self(sender), receiver)
    }
}

impl StreamRun {
    /// Counts events that arrive together; returns whether the stream has gone on for long enough
    /// to prove its parts sound.
    pub(crate) fn record_events(&mut self, events: u64) -> bool {
        self.events += events;
        let begun_at = *self.begun_at.get_or_insert_with(Instant::now);
        begun_at.elapsed() >= Duration::from_millis(SOUND_STREAM_MS)
    }
}

impl GatewayState {
    /// Checks whether a request may run by the parts of its prompt, before it waits for capacity.
    pub(crate) async fn check_parts(&self, request: &RoutedRequest) -> Result<(), RequestError> {
        let parts = &request.head.prompt_parts;
        if parts.is_empty() {
            return Ok(());
        }
        match self.subscription.part_admission(parts) {
            PartAdmission::Admitted => Ok(()),
            PartAdmission::NeedsProbe { .. } if self.subscription.request_probe(parts).await => {
                info!(self.log, "prompt parts probed"; "request" => request.id(),
                    "parts" => hex_list(parts));
                let evidence = &request.part_evidence;
                evidence.holds_probe.store(true, Ordering::Relaxed);
                Ok(())
            }
            PartAdmission::NeedsProbe { part } => Err(self.refuse_part(part, PROBE_RETRY_AFTER_MS)),
            PartAdmission::Refused { part, remaining_ms } => {
                Err(self.refuse_part(part, remaining_ms))
            }
        }
    }

    /// Checks the same right before a request is sent, and takes its probe if it needs one; returns
    /// whether it did.
    pub(crate) fn take_probe(&self, request: &RoutedRequest) -> Result<bool, RequestError> {
        let parts = &request.head.prompt_parts;
        let evidence = &request.part_evidence;
        if parts.is_empty() || evidence.is_sound.load(Ordering::Relaxed) {
            return Ok(false);
        }
        match self.subscription.part_admission(parts) {
            PartAdmission::Admitted => Ok(false),
            PartAdmission::NeedsProbe { .. }
                if evidence.holds_probe.swap(false, Ordering::Relaxed) =>
            {
                Ok(true)
            }
            PartAdmission::NeedsProbe { part } => Err(self.refuse_part(part, PROBE_RETRY_AFTER_MS)),
            PartAdmission::Refused { part, remaining_ms } => {
                Err(self.refuse_part(part, remaining_ms))
            }
        }
    }

    fn refuse_part(&self, part: u64, remaining_ms: u64) -> RequestError {
        self.metrics.record_quarantine_refusal();
        RequestError::not_run(
            format!("a part of the prompt has crashed endpoints: {part:x}"),
            remaining_ms.min(RETRY_AFTER_MS_MAX),
        )
    }

    /// Accuses the parts of a request whose endpoint failed before its first event.
    pub(crate) fn report_crash(
        &self,
        request: &RoutedRequest,
        endpoint: &Endpoint,
        sent_at: Instant,
        reason: &str,
    ) {
        self.accuse_parts(request, endpoint, sent_at, 0, reason);
    }

    /// Accuses the parts of a request whose endpoint broke off its stream.
    pub(crate) fn report_stream_crash(
        &self,
        request: &RoutedRequest,
        endpoint: &Endpoint,
        run: &StreamRun,
        reason: &str,
    ) {
        let begun_at = run.begun_at.unwrap_or_else(Instant::now);
        self.accuse_parts(request, endpoint, begun_at, run.events, reason);
    }

    fn accuse_parts(
        &self,
        request: &RoutedRequest,
        endpoint: &Endpoint,
        started_at: Instant,
        events: u64,
        reason: &str,
    ) {
        let parts = &request.head.prompt_parts;
        if parts.is_empty() || request.part_evidence.is_sound.load(Ordering::Relaxed) {
            return;
        }
        info!(self.log, "endpoint crash suspected"; "request" => request.id(),
            "endpoint" => &endpoint.id, "parts" => hex_list(parts), "events" => events,
            "ran_ms" => crate::clock::elapsed_ms(started_at), "reason" => reason);
        self.queue_report(RunReport::Crashed(Accusation {
            endpoint: AccusingEndpoint {
                id: endpoint.id.clone(),
                started_at_ms: endpoint.started_at_ms,
            },
            parts: parts.clone(),
        }));
    }

    /// Reports those parts of a soundly answered request that are accused. Called again while a stream
    /// goes on, as they may be accused meanwhile.
    pub(crate) fn report_sound(&self, request: &RoutedRequest) {
        let is_sound = &request.part_evidence.is_sound;
        is_sound.store(true, Ordering::Relaxed);
        let accused = self.accused_parts(request);
        if !accused.is_empty() {
            self.queue_report(RunReport::Sound(accused));
        }
    }

    /// Reports what the answer of a request shows that ended with its connection: its endpoint is
    /// still there, or has crashed with the answer.
    pub(crate) fn report_unframed_end(
        self: &Arc<Self>,
        request: &Arc<RoutedRequest>,
        endpoint: &Arc<Endpoint>,
    ) {
        if request.head.prompt_parts.is_empty() {
            return;
        }
        let ended_at = Instant::now();
        let (gateway, request) = (Arc::clone(self), Arc::clone(request));
        let endpoint = Arc::clone(endpoint);
        tokio::spawn(async move {
            sleep(Duration::from_millis(CONNECTION_END_CHECK_MS)).await;
            if endpoint.pool.is_reachable().await {
                gateway.report_sound(&request);
            } else if !endpoint.is_leaving() {
                let reason = "the endpoint is gone after an answer that ended with its connection";
                gateway.report_crash(&request, &endpoint, ended_at, reason);
            }
        });
    }

    fn accused_parts(&self, request: &RoutedRequest) -> Vec<u64> {
        let parts = &request.head.prompt_parts;
        if parts.is_empty() {
            return Vec::new();
        }
        self.subscription.accused_parts(parts)
    }

    fn queue_report(&self, report: RunReport) {
        if let Err(error) = self.part_reporter.0.try_send(report) {
            warn!(self.log, "prompt parts not reported"; "error" => %error);
        }
    }
}

impl PartEvidence {
    /// Gives a probe back that has certainly not run.
    pub(crate) fn return_probe(&self) {
        self.holds_probe.store(true, Ordering::Relaxed);
    }
}

/// Reports crashes and sound answers in batches; returns when the gateway has stopped.
pub(crate) async fn report_parts(
    gateway: Arc<GatewayState>,
    mut reports: mpsc::Receiver<RunReport>,
) {
    // Parts that were reported to be sound lately, with the time.
    let mut reported: Vec<(u64, Instant)> = Vec::new();
    let interval = Duration::from_millis(SOUND_REPORT_INTERVAL_MS);
    while let Some(first) = reports.recv().await {
        sleep(Duration::from_millis(REPORT_INTERVAL_MS)).await;
        reported.retain(|(_, reported_at)| reported_at.elapsed() < interval);
        let mut accusations = Vec::new();
        let mut sound_parts = Vec::new();
        let mut next = Some(first);
        while let Some(report) = next {
            match report {
                RunReport::Crashed(accusation) => accusations.push(accusation),
                RunReport::Sound(parts) => {
                    for part in parts {
                        if !reported.iter().any(|(known, _)| *known == part) {
                            reported.push((part, Instant::now()));
                            sound_parts.push(part);
                        }
                    }
                }
            }
            next = reports.try_recv().ok();
        }
        if !accusations.is_empty() || !sound_parts.is_empty() {
            let subscription = &gateway.subscription;
            subscription.report_parts(accusations, sound_parts).await;
        }
    }
}

/// Ids of prompt parts as requests write them, separated by commas.
fn hex_list(parts: &[u64]) -> String {
    let parts: Vec<String> = parts.iter().map(|part| format!("{part:x}")).collect();
    parts.join(",")
}
