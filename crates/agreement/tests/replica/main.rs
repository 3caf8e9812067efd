//! One replica driven by hand.

mod driver;
mod identity;
mod leadership;
mod messages;
mod removal;
