//! Messages between the processes of a deployment.
