//! Schedules of faults from seeds, on virtual time: whatever happens, what must never be is not, and once all is well again all
//! come to one view.

use super::{Net, SECOND};
use birchreach_membership::{Membership, Micros, ViewState};

/// What happens to a fleet.
#[derive(Clone, Debug)]
pub enum Act {
    Kill(usize),
    /// It starts anew, with a clock that is off by so much.
    Start(usize, Micros),
    Stop(usize),
    GoOn(usize),
    Leave(usize),
    /// Those below this place and the others do not hear each other.
    Halves(usize),
    /// It hears nobody; or nobody hears it.
    Deaf(usize),
    Mute(usize),
    Heal,
    Loss(f64),
}

/// So many places, and what happens after how long.
#[derive(Clone, Debug)]
pub struct Schedule {
    pub seed: u64,
    pub places: usize,
    pub acts: Vec<(Micros, Act)>,
}

impl Schedule {
    pub fn draw(seed: u64) -> Schedule {
        let mut rng = fastrand::Rng::with_seed(seed);
        let places = rng.usize(3..=10);
        let mut at = 0;
        let acts = (0..rng.usize(4..=14)).map(|_| {
            at += rng.i64(SECOND / 10..6 * SECOND);
            let n = rng.usize(..places);
            let act = match rng.u8(..12) {
                0 | 1 => Act::Kill(n),
                2 | 3 => Act::Start(n, if rng.u8(..4) == 0 { -rng.i64(0..3_600 * SECOND) } else { 0 }),
                4 => Act::Stop(n),
                5 => Act::GoOn(n),
                6 => Act::Leave(n),
                7 => Act::Halves(rng.usize(1..places)),
                8 => Act::Deaf(n),
                9 => Act::Mute(n),
                10 => Act::Heal,
                _ => Act::Loss([0.0, 0.05, 0.2][rng.usize(..3)]),
            };
            (at, act)
        });
        let acts = acts.collect();
        Schedule { seed, places, acts }
    }

    /// Plays it; then all is well again, and all that were lost come back. How long they took to agree.
    pub fn play(&self) -> Result<Micros, String> {
        let mut net = Net::started(self.places, self.seed);
        for (at, act) in &self.acts {
            while net.now < *at {
                net.pass((*at - net.now).min(SECOND / 2));
                self.hold(&net)?;
            }
            self.act(&mut net, act);
        }
        net.cut = Box::new(|_, _| false);
        net.loss = 0.0;
        for n in 0..self.places {
            net.stop(n, false);
            let here = net.all[n].fleet.as_ref().is_some_and(|f| !f.left());
            if !here {
                net.start(n, 0);
            }
        }
        let took = net.until_agreed(self.places, 40 * SECOND);
        took.ok_or_else(|| format!("{self:?}: they do not agree: {:?}", views(&net)))
    }

    fn act(&self, net: &mut Net, act: &Act) {
        match *act {
            Act::Kill(n) => net.kill(n),
            Act::Start(n, clock) => net.start(n, clock),
            Act::Stop(n) => net.stop(n, true),
            Act::GoOn(n) => net.stop(n, false),
            Act::Leave(n) => {
                let now = net.now;
                net.all[n].fleet.iter_mut().for_each(|f| f.leave(now));
            }
            Act::Halves(of) => net.cut = Box::new(move |a, b| (a < of) != (b < of)),
            Act::Deaf(n) => net.cut = Box::new(move |_, b| b == n),
            Act::Mute(n) => net.cut = Box::new(move |a, _| a == n),
            Act::Heal => net.cut = Box::new(|_, _| false),
            Act::Loss(share) => net.loss = share,
        }
    }

    /// What must hold at any time: shares never add up to more than the whole, nobody is its own member, and a view is of places
    /// that there are.
    fn hold(&self, net: &Net) -> Result<(), String> {
        let here = || net.live().filter(|f| !f.left());
        let sum: f64 = here().map(|f| 1.0 / f64::from(f.view().divisor())).sum();
        let own = here().any(|f| f.members().any(|m| m.address == f.own().address));
        let blind = here().any(|f| matches!(f.view().state, ViewState::Alone));
        if sum > 1.0 + 1e-9 || own || blind {
            return Err(format!("{self:?}: shares of {sum}, own {own}, alone {blind}, at {}", net.now));
        }
        Ok(())
    }
}

fn views(net: &Net) -> Vec<(usize, u64, ViewState)> {
    let view = |f: &Membership| (f.view().members, f.view().digest, f.view().state);
    net.live().map(view).collect()
}

pub fn some_schedules_settle() -> Result<(), String> {
    (1..=150).try_for_each(|seed| Schedule::draw(seed).play().map(drop))
}
