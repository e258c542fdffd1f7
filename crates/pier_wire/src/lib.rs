//! Messages between nodes: authenticated datagrams and framed streams.
