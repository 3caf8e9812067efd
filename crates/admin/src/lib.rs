//! Operators' HTTP interface and its client.
