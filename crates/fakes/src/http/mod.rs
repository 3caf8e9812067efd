//! The engine and a booking service behind the interfaces that endpoints speak.
//!
//! Both listen on a port of loopback, announce themselves once a second, and break the rules on
//! demand: a fault is set in the process or by `PUT /fault`.

mod announcement;
mod announcer;
mod booking_server;
mod cache_log;
mod engine_server;
mod engine_state;
mod error;
mod fault;
mod generation_stream;
mod reply;
mod report_log;
mod server;

pub use announcement::{
    Announcement, CacheReport, EngineOffer, LoadReport, Offer, ServiceOffer, State,
};
pub use announcer::Place;
pub use booking_server::{BookingServer, BookingSettings, Run};
pub use engine_server::{EngineServer, EngineServerSettings};
pub use engine_state::{EngineOrders, LedgerEntry, LengthRule};
pub use error::Error;
pub use fault::{Fault, FaultOrder, FaultSwitch};
