use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use entry::dependencies::{
    ClaimError, ClaimRequest, ClaimResponse, ClaimStore, ClassObserver, Dependencies, Directory,
    Observer, Permit, PermitEnd, PermitRequest, PermitSource, Refusal, RowLimits, StoredResponse,
    TargetRef,
};
use entry::{Entry, Limits, Settings};
use names::{CustomerName, EndpointName, KindName, ModelName, RegionName};
use slog::{Discard, Logger, o};

/// Everything around the entry; grants each request the one engine.
struct Neighbours {
    engine: SocketAddr,
}

struct OnePermit {
    address: SocketAddr,
    endpoint: EndpointName,
}

impl Permit for OnePermit {
    fn address(&self) -> SocketAddr {
        self.address
    }

    fn endpoint(&self) -> &EndpointName {
        &self.endpoint
    }

    fn finish(self: Box<Self>, _end: PermitEnd, _tokens: u32) {}

    fn priority(&self) -> i32 {
        0
    }

    fn report_progress(&mut self, _tokens: u32) {}
}

#[async_trait]
impl PermitSource for Neighbours {
    async fn acquire(&self, _request: &PermitRequest) -> Result<Box<dyn Permit>, Refusal> {
        Ok(Box::new(OnePermit {
            address: self.engine,
            endpoint: EndpointName::new("engine").unwrap(),
        }))
    }
}

#[async_trait]
impl ClaimStore for Neighbours {
    async fn claim(&self, _request: &ClaimRequest) -> ClaimResponse {
        ClaimResponse::Granted
    }

    async fn finish(&self, _: &ClaimRequest, _: StoredResponse) -> Result<(), ClaimError> {
        Ok(())
    }

    async fn mark_unknown(&self, _request: &ClaimRequest) {}

    async fn release(&self, _request: &ClaimRequest) {}
}

impl Directory for Neighbours {
    fn authenticate(&self, key: &str) -> Option<CustomerName> {
        CustomerName::new(key).ok()
    }

    fn default_kind(&self, _work: TargetRef<'_>) -> KindName {
        KindName::new("advice").unwrap()
    }

    fn has_live_lease(&self) -> bool {
        true
    }

    fn models(&self) -> Vec<ModelName> {
        Vec::new()
    }

    fn row_limits(&self, _customer: &CustomerName, _kind: &KindName) -> Option<RowLimits> {
        Some(RowLimits::default())
    }
}

impl ClassObserver for Neighbours {}

impl Observer for Neighbours {
    fn class_observer(&self, _customer: &CustomerName, _kind: &KindName) -> Arc<dyn ClassObserver> {
        Arc::new(Neighbours {
            engine: self.engine,
        })
    }

    fn record_rejection(&self, _status: u16) {}
}

/// Serves an entry until the process ends.
pub async fn serve(engine: SocketAddr) {
    let neighbours = || Arc::new(Neighbours { engine });
    let dependencies = Dependencies {
        claims: neighbours(),
        directory: neighbours(),
        observer: neighbours(),
        permits: neighbours(),
    };
    let settings = Settings {
        address: "127.0.0.1:0".parse().unwrap(),
        limits: Limits::default(),
        log: Logger::root(Discard, o!()),
        region: RegionName::new("north").unwrap(),
        seed: 1,
    };
    let entry = Entry::bind(settings, dependencies).await.unwrap();
    println!("{}", entry.address());
    std::future::pending::<()>().await;
}
