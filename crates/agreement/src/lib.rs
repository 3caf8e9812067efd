//! Log replication core without input or output.
