//! Tests of the control duties of several daemons over a network that can be cut, on one thread,
//! with fakes at the ports.

mod current;
mod eras;
mod joining;
mod link;
mod preconnect;
mod split;
mod support;
mod suspicion;
