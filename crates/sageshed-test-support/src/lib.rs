//! Stand-in endpoints, a relay that can be cut and a load tool; never shipped.
