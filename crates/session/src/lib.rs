//! Instance membership, leases and publication without input or output.
