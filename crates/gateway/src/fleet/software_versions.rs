use registry::{EndpointView, StreamOrigin};

/// Time for which a version whose last endpoint has left may still have streams to resume.
const RETENTION_MS: u64 = 60_000;

/// Software versions of the endpoints of all services, also of those that left recently.
#[derive(Debug, Default)]
pub(super) struct SoftwareVersions {
    /// Sorted by service and version.
    seen: Vec<SeenVersion>,
}

/// Software version of a service.
#[derive(Debug)]
struct SeenVersion {
    is_present: bool,
    last_seen_ms: u64,
    origin: StreamOrigin,
}

impl SoftwareVersions {
    /// Replaces the present versions.
    pub(super) fn update(&mut self, now_ms: u64, endpoints: &[EndpointView]) {
        for seen in &mut self.seen {
            if std::mem::take(&mut seen.is_present) {
                seen.last_seen_ms = now_ms;
            }
        }
        for endpoint in endpoints {
            let registration = &endpoint.registration;
            let key = (&registration.service, &registration.software_version);
            let found = self.seen.binary_search_by(|seen| {
                (&seen.origin.service, &seen.origin.software_version).cmp(&key)
            });
            match found {
                Ok(at) => self.seen[at].is_present = true,
                Err(at) => {
                    let seen = SeenVersion {
                        is_present: true,
                        last_seen_ms: now_ms,
                        origin: StreamOrigin {
                            service: registration.service.clone(),
                            software_version: registration.software_version.clone(),
                        },
                    };
                    self.seen.insert(at, seen);
                }
            }
        }
        self.seen.retain(|seen| seen.is_recent(now_ms));
    }

    /// Origin of all recent streams of a service, if it has had only one software version.
    pub(super) fn only_origin(&self, now_ms: u64, service: &str) -> Option<StreamOrigin> {
        let mut recent = self
            .seen
            .iter()
            .filter(|seen| seen.origin.service == service && seen.is_recent(now_ms));
        let only = recent.next()?;
        recent.next().is_none().then(|| only.origin.clone())
    }
}

impl SeenVersion {
    fn is_recent(&self, now_ms: u64) -> bool {
        self.is_present || now_ms < self.last_seen_ms + RETENTION_MS
    }
}
