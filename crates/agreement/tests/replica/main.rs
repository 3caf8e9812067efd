//! One replica driven by hand.

mod driver;
mod identity;
mod messages;
mod removal;
