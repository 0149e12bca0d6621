//! Whom a running proxy answers, and how fast, so that a hundred newcomers after a mass restart cost its clients nothing. Owns
//! the budget; never says what is told.

use crate::Micros;

#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Askers answered at once; others are told when to come again.
    pub at_once: usize,
    /// Bytes a second over all of them.
    pub bytes_per_s: u64,
    /// Above this pressure (0 to 1) nothing is told at all.
    pub pressure: f64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings { at_once: 4, bytes_per_s: 1 << 20, pressure: 0.85 }
    }
}

/// What to do with one that asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Serve,
    /// Come again after this time.
    Busy(Micros),
}

/// Bytes that may go at once: a whole frame.
const BURST: f64 = 64.0 * 1024.0;
/// What an asker that was put off is told to wait at least, and by how much more for each that was put off lately.
const WAIT: Micros = 100_000;

pub struct Donor {
    settings: Settings,
    serving: usize,
    pressure: f64,
    left: f64,
    at: Micros,
    /// Askers put off, halved each second.
    put_off: f64,
    put_off_at: Micros,
    pub served: u64,
    pub refused: u64,
}

impl Donor {
    pub fn new(settings: Settings, now: Micros) -> Donor {
        Donor {
            settings,
            serving: 0,
            pressure: 0.0,
            left: BURST,
            at: now,
            put_off: 0.0,
            put_off_at: now,
            served: 0,
            refused: 0,
        }
    }

    /// How much the proxy has to do for its clients.
    pub fn pressed(&mut self, pressure: f64) {
        self.pressure = if pressure.is_finite() { pressure } else { 1.0 };
    }

    /// Somebody asks.
    pub fn asked(&mut self, now: Micros) -> Verdict {
        if self.serving < self.settings.at_once && self.pressure < self.settings.pressure {
            self.serving += 1;
            return Verdict::Serve;
        }
        self.refused += 1;
        let seconds = (now - self.put_off_at).max(0) as f64 / 1e6;
        self.put_off = self.put_off * 0.5f64.powf(seconds) + 1.0;
        self.put_off_at = now;
        // They come back one after another, not together.
        Verdict::Busy(WAIT + (WAIT as f64 * self.put_off / self.settings.at_once.max(1) as f64) as Micros)
    }

    /// One that was served has all, or is gone.
    pub fn done(&mut self, whole: bool) {
        self.serving = self.serving.saturating_sub(1);
        self.served += u64::from(whole);
    }

    /// May so many bytes go now? Otherwise, when to ask again.
    pub fn may_send(&mut self, now: Micros, bytes: usize) -> Result<(), Micros> {
        let seconds = (now - self.at).max(0) as f64 / 1e6;
        self.at = now;
        self.left = (self.left + seconds * self.settings.bytes_per_s as f64).min(BURST);
        let wanted = (bytes as f64).min(BURST);
        if self.pressure >= self.settings.pressure {
            return Err(now + WAIT);
        }
        if self.left < wanted {
            let wait = (wanted - self.left) / self.settings.bytes_per_s.max(1) as f64 * 1e6;
            return Err(now + (wait as Micros).max(1_000));
        }
        self.left -= wanted;
        Ok(())
    }
}
