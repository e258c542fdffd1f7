//! Decisions about target limits, cold starts, node membership and failure detection.
