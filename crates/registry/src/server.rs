//! Serves the remote calls of other instances.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use agreement::Envelope;
use futures::StreamExt;
use slog::{Logger, debug, info, warn};
use tarpc::context::Context;
use tarpc::serde_transport::new;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{AbortHandle, JoinSet};

use crate::connection::frame_codec;
use crate::group::Group;
use crate::publisher::Publisher;
use crate::read_index::ReadIndexBatcher;
use crate::rpc::{ChangeChunk, ChangePosition, PollAnswer, PollRequest, RegistryRpc};
use crate::version_register::VersionRegister;
use crate::{
    BegunStreams, Document, EndpointEvent, Error, LoadAggregator, PartChange, PartReport,
    PermitRequest, RegistryCommand, ReservationAnswer, StreamOrigin, StreamOrigins, VersionChange,
};

/// Parts of a registry that remote calls use.
#[derive(Clone)]
pub(crate) struct Server {
    pub(crate) group: Arc<Group>,
    pub(crate) load_aggregator: Arc<Mutex<LoadAggregator>>,
    pub(crate) log: Logger,
    pub(crate) publisher: Arc<Publisher>,
    pub(crate) read_index: Arc<ReadIndexBatcher>,
    pub(crate) stream_origins: Arc<Mutex<StreamOrigins>>,
    pub(crate) version_register: Arc<VersionRegister>,
}

impl Server {
    /// Listens on `address`, and serves calls until the returned task is aborted.
    pub(crate) async fn bind(self, address: SocketAddr) -> Result<AbortHandle, Error> {
        let listener = TcpListener::bind(address)
            .await
            .map_err(|source| Error::Listen { address, source })?;
        Ok(tokio::spawn(self.run(listener)).abort_handle())
    }

    async fn run(self, listener: TcpListener) {
        let mut connections = JoinSet::new();
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    while connections.try_join_next().is_some() {}
                    connections.spawn(self.clone().serve_connection(stream));
                }
                Err(error) => warn!(self.log, "connection not accepted"; "error" => %error),
            }
        }
    }

    async fn serve_connection(self, stream: TcpStream) {
        if let Err(error) = stream.set_nodelay(true) {
            debug!(self.log, "connection lost"; "error" => %error);
            return;
        }
        let transport = new(frame_codec().new_framed(stream), Bincode::default());
        let mut calls = JoinSet::new();
        let mut requests = Box::pin(BaseChannel::with_defaults(transport).execute(self.serve()));
        while let Some(call) = requests.next().await {
            while calls.try_join_next().is_some() {}
            calls.spawn(call);
        }
    }
}

impl Server {
    /// Proposes a command to the local replica; returns whether it is committed.
    async fn propose(&self, command: &RegistryCommand) -> bool {
        let Some(handle) = self.group.handle() else {
            return false;
        };
        handle.propose(command.encode()).await.is_ok()
    }

    /// Logs a change with the instance that reported its cause, and the endpoint that crashed.
    fn log_part_change(&self, change: &PartChange, instance: &str, endpoint_id: Option<&str>) {
        match change {
            PartChange::Accused { accusations, part } => {
                info!(self.log, "prompt part accused"; "part" => hex_list(&[*part]),
                    "accusations" => accusations, "endpoint" => endpoint_id, "from" => instance);
            }
            PartChange::Quarantined {
                crashed_probes,
                duration_ms,
                endpoint_ids,
                part,
            } => {
                info!(self.log, "prompt part quarantined"; "part" => hex_list(&[*part]),
                    "quarantine_ms" => duration_ms, "crashed_probes" => crashed_probes,
                    "endpoints" => endpoint_ids.join(","), "from" => instance);
            }
            PartChange::Released {
                is_explained,
                is_quarantined,
                part,
            } => {
                info!(self.log, "prompt part released"; "part" => hex_list(&[*part]),
                    "is_explained" => is_explained, "was_quarantined" => is_quarantined,
                    "from" => instance);
            }
        }
    }
}

/// Ids of prompt parts as requests write them, separated by commas.
fn hex_list(parts: &[u64]) -> String {
    let parts: Vec<String> = parts.iter().map(|part| format!("{part:x}")).collect();
    parts.join(",")
}

impl RegistryRpc for Server {
    async fn deliver_messages(self, _context: Context, messages: Vec<Vec<u8>>) {
        for message in messages {
            match postcard::from_bytes::<Envelope>(&message) {
                Ok(envelope) => self.group.deliver(envelope).await,
                Err(error) => warn!(self.log, "voter message not decoded"; "error" => %error),
            }
        }
    }

    async fn confirm_leadership(self, _context: Context) -> Option<u64> {
        self.read_index.confirm_leadership().await
    }

    async fn exchange_loads(self, _context: Context, report: Vec<u8>) -> Vec<u8> {
        let now_ms = self.publisher.now_ms();
        let report = match postcard::from_bytes(&report) {
            Ok(report) => report,
            Err(error) => {
                // The subscriber cannot decode an empty answer, so its exchange fails.
                warn!(self.log, "load report not decoded"; "error" => %error);
                return Vec::new();
            }
        };
        let aggregator = self.load_aggregator.lock();
        let mut aggregator = aggregator.unwrap_or_else(PoisonError::into_inner);
        let aggregated = aggregator.apply_report(now_ms, report);
        postcard::to_stdvec(&aggregated).expect("aggregated loads can be encoded")
    }

    async fn poll(self, _context: Context, request: PollRequest) -> PollAnswer {
        self.publisher.poll(request).await
    }

    async fn read_change(self, _context: Context, position: ChangePosition) -> Option<ChangeChunk> {
        self.publisher.read_change(position)
    }

    async fn propose_document(self, _context: Context, document: Document) -> bool {
        self.propose(&RegistryCommand::PutDocument(document)).await
    }

    async fn reserve(self, _context: Context, request: Vec<u8>) -> Vec<u8> {
        let now_ms = self.publisher.now_ms();
        let answer = match postcard::from_bytes(&request) {
            Ok(request) => {
                let aggregator = self.load_aggregator.lock();
                let mut aggregator = aggregator.unwrap_or_else(PoisonError::into_inner);
                aggregator.reserve(now_ms, &request, rand::random())
            }
            Err(error) => {
                warn!(self.log, "reservation request not decoded"; "error" => %error);
                ReservationAnswer::LoadsUnknown
            }
        };
        postcard::to_stdvec(&answer).expect("a reservation answer can be encoded")
    }

    async fn take_permits(self, _context: Context, requests: Vec<u8>) -> Vec<u8> {
        let now_ms = self.publisher.now_ms();
        let requests: Vec<PermitRequest> = match postcard::from_bytes(&requests) {
            Ok(requests) => requests,
            Err(error) => {
                // The subscriber cannot decode an empty answer, so its request fails.
                warn!(self.log, "request for permits not decoded"; "error" => %error);
                return Vec::new();
            }
        };
        let aggregator = self.load_aggregator.lock();
        let mut aggregator = aggregator.unwrap_or_else(PoisonError::into_inner);
        let answers = aggregator.grant_permits(now_ms, &requests);
        postcard::to_stdvec(&answers).expect("answers can be encoded")
    }

    async fn forward_events(self, _context: Context, events: Vec<EndpointEvent>) {
        for event in events {
            self.publisher.record_event(event);
        }
    }

    async fn record_streams(self, _context: Context, begun: Vec<BegunStreams>) {
        let now_ms = self.publisher.now_ms();
        let origins = self.stream_origins.lock();
        let mut origins = origins.unwrap_or_else(PoisonError::into_inner);
        for streams in begun {
            origins.record(now_ms, streams);
        }
    }

    async fn find_stream_origin(
        self,
        _context: Context,
        request_id: String,
    ) -> Option<StreamOrigin> {
        let now_ms = self.publisher.now_ms();
        let origins = self.stream_origins.lock();
        let mut origins = origins.unwrap_or_else(PoisonError::into_inner);
        origins.find(now_ms, &request_id)
    }

    async fn report_parts(self, _context: Context, report: Vec<u8>) {
        let report = match postcard::from_bytes::<PartReport>(&report) {
            Ok(report) => report,
            Err(error) => {
                warn!(self.log, "report of prompt parts not decoded"; "error" => %error);
                return;
            }
        };
        for accusation in &report.accusations {
            for change in self.publisher.accuse_parts(accusation) {
                let endpoint_id = Some(accusation.endpoint.id.as_str());
                self.log_part_change(&change, &report.instance, endpoint_id);
            }
        }
        for part in report.sound_parts {
            if let Some(change) = self.publisher.record_sound_part(part) {
                self.log_part_change(&change, &report.instance, None);
            }
        }
    }

    async fn grant_probe(self, _context: Context, parts: Vec<u64>) -> bool {
        let is_granted = self.publisher.grant_probe(&parts);
        info!(self.log, "probe of prompt parts requested"; "parts" => hex_list(&parts),
            "is_granted" => is_granted);
        is_granted
    }

    async fn propose_version_change(self, _context: Context, change: VersionChange) -> bool {
        self.propose(&RegistryCommand::ChangeVersions(change)).await
    }

    async fn find_only_origin(self, _context: Context, service: String) -> Option<StreamOrigin> {
        if !self.read_index.confirm_newest().await {
            return None;
        }
        self.version_register.only_origin(&service)
    }
}
