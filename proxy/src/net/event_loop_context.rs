//! What the connections' owners need of the loop, lent to them for a call.

use super::statement_payload::StatementPayload;
use super::timer_events::TimerEvent;
use super::timers::Timers;
use crate::core::Core;
use birchreach::Micros;
use mio::Registry;

pub struct EventLoopContext<'a> {
    pub now: Micros,
    pub registry: &'a Registry,
    pub timers: &'a mut Timers<TimerEvent>,
    pub core: &'a mut Core<StatementPayload>,
    pub scratch: &'a mut [u8],
}
