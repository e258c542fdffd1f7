//! Clients of the platform: object API and VM list.
