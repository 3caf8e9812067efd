//! Endpoints under lease and the load that they report.

use dispatch::{EndpointLoad, EndpointProfile, Event, ModelIndex, RegionIndex};
use names::EndpointId;
use protocol::{AnnounceAnswer, EndpointReport, RunningPermit};
use session::{Announcement, ENDPOINT_LEASE_MS, EndpointEvent, LoadReport, Offer};
use slog::info;

use super::actor::{MICROSECONDS_PER_MILLISECOND, ShardOwner};
use super::messages::Announce;

impl ShardOwner {
    pub(super) fn announce(&mut self, announce: &Announce) -> AnnounceAnswer {
        if !self.is_owner() {
            return AnnounceAnswer::NotOwner;
        }
        let now_ms = self.clock.now_ms();
        let Announce {
            announcement,
            endpoint,
        } = announce;
        let Ok(events) = self.endpoints.announce(now_ms, endpoint, announcement) else {
            return AnnounceAnswer::Outdated;
        };
        for event in events {
            self.handle_endpoint_event(event);
        }
        self.apply_load_and_cache_update(announce);
        AnnounceAnswer::Leased {
            lease_ms: ENDPOINT_LEASE_MS,
        }
    }

    pub(super) fn apply_load_and_cache_update(&mut self, announce: &Announce) {
        let Announcement { cache, report, .. } = &announce.announcement;
        let endpoint_id = self
            .endpoints
            .iter()
            .find(|endpoint| endpoint.name == announce.endpoint)
            .map(|endpoint| endpoint.id);
        let Some(endpoint) = endpoint_id else {
            return;
        };
        if let Some(load) = report {
            self.handle_event(Event::LoadReported {
                age_us: load.age_ms * MICROSECONDS_PER_MILLISECOND,
                endpoint,
                load: &endpoint_load(load),
            });
        }
        if let Some(update) = cache {
            self.handle_event(Event::BlocksCached {
                endpoint,
                hashes: &parse_hashes(&update.added),
            });
            self.handle_event(Event::BlocksEvicted {
                endpoint,
                hashes: &parse_hashes(&update.evicted),
            });
        }
    }

    pub(super) fn endpoint_id(&self, running: &RunningPermit) -> Option<EndpointId> {
        self.endpoints
            .iter()
            .find(|endpoint| endpoint.name == running.endpoint)
            .map(|endpoint| endpoint.id)
    }

    pub(super) fn endpoint_reports(&self) -> Vec<EndpointReport> {
        let now_ms = self.clock.now_ms();
        self.endpoints
            .iter()
            .map(|endpoint| EndpointReport {
                age_ms: now_ms.saturating_sub(endpoint.announced_ms),
                announcement: Announcement {
                    cache: None,
                    ..endpoint.announcement.clone()
                },
                endpoint: endpoint.name.clone(),
                shard: self.ownership.shard.clone(),
            })
            .collect()
    }

    pub(super) fn handle_endpoint_event(&mut self, event: EndpointEvent) {
        match event {
            EndpointEvent::Announced(endpoint) => {
                let Some(profile) = self.profile(endpoint) else {
                    return;
                };
                self.handle_event(Event::EndpointAnnounced {
                    endpoint,
                    profile: &profile,
                });
            }
            EndpointEvent::Lapsed(endpoint) => {
                info!(self.log, "endpoint lapsed"; "shard" => %self.ownership.shard, "endpoint" => endpoint.0);
                self.handle_event(Event::EndpointLapsed { endpoint });
                self.remove_ended_permits();
            }
            EndpointEvent::Leaving(endpoint) => {
                self.handle_event(Event::EndpointLeaving { endpoint });
            }
        }
    }

    pub(super) fn profile(&mut self, id: EndpointId) -> Option<EndpointProfile> {
        let announcement = &self.endpoints.get(id)?.announcement;
        let region = RegionIndex(self.regions.index(&announcement.region));
        Some(endpoint_profile(&announcement.offer, region))
    }
}

/// Parses hexadecimal hashes; malformed ones are skipped.
fn parse_hashes(texts: &[String]) -> Vec<u64> {
    const HEXADECIMAL: u32 = 16;
    texts
        .iter()
        .filter_map(|text| u64::from_str_radix(text, HEXADECIMAL).ok())
        .collect()
}

fn endpoint_load(report: &LoadReport) -> EndpointLoad {
    EndpointLoad {
        memory_used_tokens: report.memory_used_tokens,
        preemptions: report.preemptions,
        running: report.running,
        token_interval_us: report.token_interval_us,
        waiting: report.waiting,
    }
}

fn endpoint_profile(offer: &Offer, region: RegionIndex) -> EndpointProfile {
    match offer {
        Offer::Engine(engine) => EndpointProfile {
            block_tokens: engine.block_tokens,
            memory_tokens: engine.memory_tokens,
            model: ModelIndex(0),
            region,
            sequences_max: engine.sequences_max,
        },
        Offer::Service(service) => EndpointProfile {
            block_tokens: 0,
            memory_tokens: u64::MAX,
            model: ModelIndex(0),
            region,
            sequences_max: service.calls_max,
        },
    }
}
