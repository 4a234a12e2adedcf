//! Stand-ins.
