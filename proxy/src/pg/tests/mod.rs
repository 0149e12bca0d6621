//! What the machines of the protocol do, on times made by hand.

mod waits;
