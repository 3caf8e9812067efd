//! One replica driven by hand.

mod driver;
mod durability;
mod identity;
mod leadership;
mod messages;
mod removal;
