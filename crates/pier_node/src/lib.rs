//! The node daemon: wires the decisions to callers, targets, peers and the platform.
