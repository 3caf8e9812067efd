//! Stand-ins for the platform, the operator and clients, around the project's own processes.

pub mod fleet;
pub mod http;
pub mod record;
pub mod replica;
