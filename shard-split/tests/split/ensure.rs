//! A check that returns an error where an assertion would panic, so that a run with an injected fault can be told from one without.

macro_rules! ensure {
    ($what:expr, $($say:tt)+) => {
        let holds: bool = $what;
        if !holds {
            return Err(format!($($say)+));
        }
    };
}
