//! One host of the fleet: its threads, the rings that join them, and the wiring
//! of the decision logic to sockets and clocks.
