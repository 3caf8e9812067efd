//! One running instance.
