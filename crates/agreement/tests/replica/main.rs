//! Tests of a single replica; the test plays the other members.

mod driver;
mod durability;
mod identity;
mod leadership;
mod messages;
mod removal;
