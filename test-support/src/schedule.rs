//! Schedules of faults on a fleet of processes: data from a seed, which is printed when one fails and plays the same again.

use crate::fleet::{Fleet, settled};
use crate::process::Process;
use crate::relay::Rules;
use std::io;
use std::thread;
use std::time::{Duration, Instant};

/// What happens.
#[derive(Clone, Debug)]
pub enum Act {
    Kill(usize),
    /// Under its name, with an empty memory.
    Start(usize),
    Stop(usize),
    GoOn(usize),
    Halves(usize),
    /// It hears nobody; or nobody hears it.
    Deaf(usize),
    Mute(usize),
    Heal,
    /// Datagrams are lost, come twice, late and spoilt.
    Noise(f64),
}

#[derive(Clone, Debug)]
pub struct Schedule {
    pub seed: u64,
    pub places: usize,
    pub acts: Vec<(Duration, Act)>,
}

impl Act {
    /// The place whose process ends by it, if one does.
    pub fn ends(&self) -> Option<usize> {
        match self {
            Act::Kill(n) | Act::Start(n) => Some(*n),
            _ => None,
        }
    }
}

impl Schedule {
    /// So many acts within so long.
    pub fn draw(seed: u64, places: usize, acts: usize, within: Duration) -> Schedule {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut acts: Vec<(Duration, Act)> = (0..acts)
            .map(|_| {
                let n = rng.usize(..places);
                let act = match rng.u8(..10) {
                    0 | 1 => Act::Kill(n),
                    2 => Act::Start(n),
                    3 => Act::Stop(n),
                    4 => Act::GoOn(n),
                    5 => Act::Halves(rng.usize(1..places)),
                    6 => Act::Deaf(n),
                    7 => Act::Mute(n),
                    8 => Act::Heal,
                    _ => Act::Noise([0.0, 0.05, 0.2][rng.usize(..3)]),
                };
                (within.mul_f64(rng.f64()), act)
            })
            .collect();
        acts.sort_by_key(|(at, _)| *at);
        Schedule { seed, places, acts }
    }

    /// Plays it on processes that run; `none` stands where one was killed.
    pub fn play(&self, fleet: &Fleet, all: &mut [Option<Process>]) -> io::Result<()> {
        let start = Instant::now();
        for (at, act) in &self.acts {
            thread::sleep(at.saturating_sub(start.elapsed()));
            self.act(fleet, all, act)?;
        }
        Ok(())
    }

    pub fn act(&self, fleet: &Fleet, all: &mut [Option<Process>], act: &Act) -> io::Result<()> {
        let signal = |all: &[Option<Process>], n: usize, name| {
            all[n].iter().for_each(|process| process.signal(name));
        };
        let cut = |pairs: &dyn Fn(usize, usize) -> bool| {
            let all = (0..self.places).flat_map(|a| (0..self.places).map(move |b| (a, b)));
            let cut = all.filter(|(a, b)| a != b && pairs(*a, *b)).collect();
            let rules = fleet.relays.rules();
            fleet.relays.set(Rules { cut, ..rules });
        };
        match *act {
            Act::Kill(n) => all[n] = None,
            Act::Start(n) => {
                all[n] = None;
                all[n] = Some(fleet.start(n, None)?);
            }
            Act::Stop(n) => signal(all, n, "STOP"),
            Act::GoOn(n) => signal(all, n, "CONT"),
            Act::Halves(of) => cut(&|a, b| (a < of) != (b < of)),
            Act::Deaf(n) => cut(&|_, b| b == n),
            Act::Mute(n) => cut(&|a, _| a == n),
            Act::Heal => cut(&|_, _| false),
            Act::Noise(share) => {
                let rules = fleet.relays.rules();
                let delay = Duration::from_secs_f64(share);
                fleet.relays.set(Rules { loss: share, twice: share, spoilt: share, delay, ..rules });
            }
        }
        Ok(())
    }

    /// All is well again and whoever was lost is there: they come to one view within so long, or it is told what they say.
    pub fn mend(
        &self,
        fleet: &Fleet,
        all: &mut [Option<Process>],
        most: Duration,
    ) -> Result<Duration, String> {
        fleet.relays.set(Rules::default());
        for (n, place) in all.iter_mut().enumerate() {
            match place {
                Some(process) => process.signal("CONT"),
                None => *place = Some(fleet.start(n, None).map_err(|e| e.to_string())?),
            }
        }
        let start = Instant::now();
        let running: Vec<&Process> = all.iter().flatten().collect();
        loop {
            match settled(self.places, &running) {
                Ok(()) => return Ok(start.elapsed()),
                Err(views) if start.elapsed() > most => return Err(format!("{self:?}: {views}")),
                Err(_) => thread::sleep(Duration::from_millis(50)),
            }
        }
    }
}
