//! At-most-once claims and their stored outcomes.
