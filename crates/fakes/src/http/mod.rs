//! The engine and a booking service behind the interfaces that endpoints speak.
//!
//! Both listen on a port of loopback, announce themselves once a second, and break the rules on
//! demand: a fault is set in the process or by `PUT /fault`. A token of text is four bytes of the
//! prompt; the hash of a prefix block is FNV-1a over all bytes of the prompt up to the block's end.
//! News of the prefix cache are sent once, so that an announcement that nobody takes leaves a gap.

mod announcer;
mod booking_server;
mod engine_server;
mod engine_state;
mod fault;
mod generation_stream;
mod handle;
mod reply;

pub use announcer::AnnouncementSettings;
pub use booking_server::{BookingServer, BookingSettings, CallRecord};
pub use engine_server::{EngineServer, EngineServerSettings};
pub use engine_state::{EngineConfiguration, GenerationLength, GenerationRecord};
pub use fault::{Fault, FaultInjector, FaultRequest};
pub use handle::ServerHandle;
