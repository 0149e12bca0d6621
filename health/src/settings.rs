//! What the operators set, and whether it can hold together.

use crate::Micros;

/// What is claimed of a group that nothing was heard of within the window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idle {
    /// What the list says, as long as nothing that was heard speaks against it.
    Trust,
    /// Nothing.
    Withdraw,
}

/// What a cause that all proxies share does to the whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shared {
    /// It is told where the capability is asked for, and the whole stays in rotation.
    Tell,
    /// With no primary in any group, the whole is not able.
    Down,
}

/// What being overloaded does to the whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Overload {
    /// The weight falls as far as it may.
    Weight,
    /// The whole is not able.
    Down,
}

/// When the sum of a capability over all groups is able.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sum {
    /// With one group that is.
    Any,
    /// With all groups.
    All,
}

/// Whom a class of requests needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Needs {
    Primary,
    Member,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Class {
    pub name: String,
    pub needs: Needs,
}

/// When a server may be asked for a sign of life unasked by any request, and how often at most.
#[derive(Clone, Debug, PartialEq)]
pub struct Probing {
    /// A group of which nothing was proven for so long is asked.
    pub every: Micros,
    /// A server that owes an answer for so long is asked.
    pub suspect: Micros,
    /// A probe that is out for so long is lost.
    pub timeout: Micros,
    /// Probes a second at most, for each group and for all.
    pub group_per_s: f64,
    pub whole_per_s: f64,
}

/// How the weight follows the pressure.
#[derive(Clone, Debug, PartialEq)]
pub struct Weighing {
    /// Up to this pressure (0 to 1) the weight is 100.
    pub knee: f64,
    /// The weight at full pressure, in per cent.
    pub least: f64,
    /// The weight moves at most by this factor a second, up and down.
    pub up_per_s: f64,
    pub down_per_s: f64,
    /// It goes to where it belongs within about this time: some times longer than balancers take to follow.
    pub settle: Micros,
    /// Above this pressure the weight goes on falling until the pressure is below.
    pub hot: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    pub classes: Vec<Class>,
    pub idle: Idle,
    pub shared: Shared,
    pub overload: Overload,
    pub sum: Sum,
    /// A proof counts for so long.
    pub window: Micros,
    /// Bad news must last this long to be told, good news that long; it doubles with each fall within a minute, up to
    /// `rise_most`.
    pub fall: Micros,
    pub rise: Micros,
    pub rise_most: Micros,
    /// Being able, and not being able, is held at least so long.
    pub hold_able: Micros,
    pub hold_unable: Micros,
    /// A server that owes answers and gives no sign of life for so long is silent. The shorter time counts where probes
    /// tell slow from silent.
    pub hang: Micros,
    pub hang_probed: Micros,
    /// Discovery that was not heard for so long is lost.
    pub discovery_after: Micros,
    /// From this pressure on the proxy is overloaded.
    pub overload_at: f64,
    pub probes: Option<Probing>,
    pub weight: Weighing,
    /// For what proxies must not do in step.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            classes: Vec::new(),
            idle: Idle::Trust,
            shared: Shared::Tell,
            overload: Overload::Weight,
            sum: Sum::Any,
            window: 15_000_000,
            fall: 100_000,
            rise: 1_000_000,
            rise_most: 30_000_000,
            hold_able: 500_000,
            hold_unable: 1_000_000,
            hang: 1_700_000,
            hang_probed: 1_000_000,
            discovery_after: 30_000_000,
            overload_at: 0.98,
            probes: None,
            weight: Weighing::default(),
            seed: 1,
        }
    }
}

impl Default for Weighing {
    fn default() -> Weighing {
        Weighing { knee: 0.6, least: 20.0, up_per_s: 1.05, down_per_s: 1.2, settle: 10_000_000, hot: 0.95 }
    }
}

impl Default for Probing {
    fn default() -> Probing {
        Probing { every: 800_000, suspect: 400_000, timeout: 500_000, group_per_s: 4.0, whole_per_s: 20.0 }
    }
}

/// Something that cannot hold together; `field` is the option's name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    pub field: &'static str,
    pub message: &'static str,
}

/// Within this time a hang must be told, and this much of it is kept for the turns of a busy loop.
const TOLD: Micros = 2_000_000;
const TURNS: Micros = 100_000;

impl Settings {
    /// The silence that speaks against a server.
    pub fn silent_after(&self) -> Micros {
        if self.probes.is_some() { self.hang_probed } else { self.hang }
    }

    /// What the options' schema cannot say: sums and orders of values.
    pub fn faults(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        let mut must = |holds: bool, field, message| {
            if !holds {
                faults.push(Fault { field, message });
            }
        };
        must(self.hang_probed <= self.hang, "hang-probed-ms", "above hang-ms");
        must(
            self.hang + self.fall + TURNS <= TOLD,
            "hang-ms",
            "with fall-ms, a hang would be told later than after 1.9 s",
        );
        must(
            self.hold_able <= self.silent_after(),
            "hold-able-ms",
            "above the time after which a hang is told",
        );
        must(self.rise <= self.rise_most, "rise-ms", "above rise-most-ms");
        must(self.weight.knee < self.weight.hot, "knee", "not below hot");
        must(self.weight.hot < self.overload_at, "hot", "not below overload-at");
        must(
            self.idle == Idle::Trust || self.probes.is_some(),
            "idle",
            "with withdraw and no probes, an idle group would never be claimed again",
        );
        if let Some(probes) = &self.probes {
            must(probes.every * 2 <= self.window, "every-ms", "above half of window-ms");
            must(
                probes.suspect + probes.timeout <= self.hang_probed,
                "timeout-ms",
                "with suspect-ms, above hang-probed-ms: a slow server would be told as a silent one",
            );
            must(probes.group_per_s <= probes.whole_per_s, "group-per-s", "above whole-per-s");
        }
        faults
    }
}
