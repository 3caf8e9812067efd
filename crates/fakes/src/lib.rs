//! Development stand-ins: engine, booking service, experiments.
