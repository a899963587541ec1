//! Tests of one gateway before cold backend servers.
