//! HTTP servers that speak the endpoint protocol: a fake engine and a fake booking service.
//!
//! Both listen on a loopback port, announce themselves once a second, and break the protocol when a
//! fault is injected, in the process or by `PUT /fault`. Four bytes of a prompt count as one token.
//! The hash of a prefix block is FNV-1a over all bytes of the prompt up to the end of the block.
//! Each update of the prefix cache is sent once: an announcement that no instance accepts leaves a
//! gap.

mod announcer;
mod booking_server;
mod engine_server;
mod engine_state;
mod fault;
mod generation_stream;
mod response;
mod server_handle;

pub use announcer::AnnouncementSettings;
pub use booking_server::{BookingServer, BookingSettings, CallRecord};
pub use engine_server::{EngineServer, EngineServerSettings};
pub use engine_state::{EngineConfiguration, GenerationLength, GenerationRecord};
pub use fault::{Fault, FaultInjector, FaultRequest};
pub use server_handle::ServerHandle;
