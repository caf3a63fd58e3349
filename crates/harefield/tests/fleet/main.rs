//! Tests of the control duty of several daemons over a network that can be cut,
//! on one thread, with fakes at the ports.

mod current;
mod eras;
mod joining;
mod link;
mod split;
mod support;
mod warming;
