//! Whom a running proxy answers, and how fast, so that a hundred newcomers after a mass restart cost its clients nothing. Owns
//! the budget; never says what is told.

use crate::Micros;

#[derive(Clone, Debug, PartialEq)]
pub struct ProviderSettings {
    /// Askers answered at once; others are told when to come again.
    pub at_once: usize,
    /// Bytes a second over all of them.
    pub bytes_per_s: u64,
    /// Above this pressure (0 to 1) nothing is told at all.
    pub pressure: f64,
}

impl Default for ProviderSettings {
    fn default() -> ProviderSettings {
        ProviderSettings { at_once: 4, bytes_per_s: 1 << 20, pressure: 0.85 }
    }
}

/// What to do with one that asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    Serve,
    /// Come again after this time.
    Busy(Micros),
}

/// Bytes that may go at once: a whole frame.
const BURST: f64 = 64.0 * 1024.0;
/// What an asker that was put off is told to wait at least, and by how much more for each that was put off lately.
const WAIT: Micros = 100_000;

pub struct StateProvider {
    settings: ProviderSettings,
    active_transfers: usize,
    load: f64,
    send_budget_bytes: f64,
    send_budget_updated_at: Micros,
    /// Askers put off, halved each second.
    recently_rejected: f64,
    recently_rejected_at: Micros,
    pub completed_transfers: u64,
    pub rejected_requests: u64,
}

impl StateProvider {
    pub fn new(settings: ProviderSettings, now: Micros) -> StateProvider {
        StateProvider {
            settings,
            active_transfers: 0,
            load: 0.0,
            send_budget_bytes: BURST,
            send_budget_updated_at: now,
            recently_rejected: 0.0,
            recently_rejected_at: now,
            completed_transfers: 0,
            rejected_requests: 0,
        }
    }

    /// How much the proxy has to do for its clients.
    pub fn set_load(&mut self, pressure: f64) {
        self.load = if pressure.is_finite() { pressure } else { 1.0 };
    }

    /// Somebody asks.
    pub fn admit(&mut self, now: Micros) -> Admission {
        if self.active_transfers < self.settings.at_once && self.load < self.settings.pressure {
            self.active_transfers += 1;
            return Admission::Serve;
        }
        self.rejected_requests += 1;
        let seconds = (now - self.recently_rejected_at).max(0) as f64 / 1e6;
        self.recently_rejected = self.recently_rejected * 0.5f64.powf(seconds) + 1.0;
        self.recently_rejected_at = now;
        // They come back one after another, not together.
        Admission::Busy(
            WAIT + (WAIT as f64 * self.recently_rejected / self.settings.at_once.max(1) as f64) as Micros,
        )
    }

    /// One that was served has all, or is gone.
    pub fn finish(&mut self, whole: bool) {
        self.active_transfers = self.active_transfers.saturating_sub(1);
        self.completed_transfers += u64::from(whole);
    }

    /// May so many bytes go now? Otherwise, when to ask again.
    pub fn take_send_budget(&mut self, now: Micros, bytes: usize) -> Result<(), Micros> {
        let seconds = (now - self.send_budget_updated_at).max(0) as f64 / 1e6;
        self.send_budget_updated_at = now;
        self.send_budget_bytes =
            (self.send_budget_bytes + seconds * self.settings.bytes_per_s as f64).min(BURST);
        let wanted = (bytes as f64).min(BURST);
        if self.load >= self.settings.pressure {
            return Err(now + WAIT);
        }
        if self.send_budget_bytes < wanted {
            let wait = (wanted - self.send_budget_bytes) / self.settings.bytes_per_s.max(1) as f64 * 1e6;
            return Err(now + (wait as Micros).max(1_000));
        }
        self.send_budget_bytes -= wanted;
        Ok(())
    }
}
