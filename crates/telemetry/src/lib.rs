//! Metrics, histograms and logs.
