//! The steps of an exchange, and how its lines write them.

use std::time::Duration;

/// A change of the configuration's text.
pub(super) enum ConfigChange<'a> {
    /// `* => NEW`
    ReplaceAll { new: &'a str },
    /// `OLD => NEW`
    Replace { old: &'a str, new: &'a str },
}

/// What a line of an exchange does. Bytes are in the notation of the exchanges, which refers to names that earlier steps define.
pub(super) enum Step<'a> {
    /// Read before the program starts; see [`super::setup`].
    Setup,
    WaitUntilStopped,
    StartAnotherProcess,
    SwapProcesses,
    KillProcess,
    Wait(Duration),
    Reload(Vec<ConfigChange<'a>>),
    Define {
        name: &'a str,
        bytes: &'a str,
    },
    ExpectLog {
        text: &'a str,
    },
    ExpectNotLogged {
        texts: Vec<&'a str>,
    },
    Signal {
        name: &'a str,
    },
    ExpectExit {
        code: i32,
    },
    FillListenQueue {
        listener: &'a str,
    },
    DrainListenQueue {
        listener: &'a str,
    },
    ExpectNoConnection {
        listener: &'a str,
    },
    CloseListener {
        listener: &'a str,
    },
    Send {
        party: &'a str,
        bytes: &'a str,
    },
    SendByteByByte {
        party: &'a str,
        bytes: &'a str,
    },
    Receive {
        party: &'a str,
        bytes: &'a str,
    },
    /// Like `Receive`, and not soon after what was sent last.
    ReceiveLater {
        party: &'a str,
        bytes: &'a str,
    },
    ExpectUnreadInput {
        party: &'a str,
    },
    Close {
        party: &'a str,
    },
    ExpectClosed {
        party: &'a str,
    },
    ExpectClosedOrReset {
        party: &'a str,
    },
}

impl<'a> Step<'a> {
    /// Parses a line that is neither empty nor a comment.
    pub(super) fn parse(line: &'a str) -> Step<'a> {
        let (subject, predicate) = split_word(line);
        Step::parse_process_step(subject, predicate)
            .or_else(|| Step::parse_party_step(subject, predicate))
            .unwrap_or_else(|| panic!("no such step"))
    }

    /// A step whose first word says what it is.
    fn parse_process_step(keyword: &'a str, arguments: &'a str) -> Option<Step<'a>> {
        let (argument, rest) = split_word(arguments);
        Some(match keyword {
            "config" | "descriptors" | "inherited" | "stops" => Step::Setup,
            "stopped" => Step::WaitUntilStopped,
            "beside" => Step::StartAnotherProcess,
            "swap" => Step::SwapProcesses,
            "killed" => Step::KillProcess,
            "wait" => Step::Wait(Duration::from_millis(argument.parse().unwrap())),
            "reload" => Step::Reload(arguments.split(" ;; ").map(ConfigChange::parse).collect()),
            "define" => Step::Define { name: argument, bytes: rest },
            "log" => Step::ExpectLog { text: non_empty(arguments) },
            "unlogged" => Step::ExpectNotLogged { texts: non_empty(arguments).split(" or ").collect() },
            "signal" => Step::Signal { name: argument },
            "exit" => Step::ExpectExit { code: argument.parse().unwrap() },
            _ => return None,
        })
    }

    /// A step that says what a client, operator, database or discovery does.
    fn parse_party_step(party: &'a str, predicate: &'a str) -> Option<Step<'a>> {
        let (verb, bytes) = split_word(predicate);
        Some(match verb {
            "full" => Step::FillListenQueue { listener: party },
            "room" => Step::DrainListenQueue { listener: party },
            "none" => Step::ExpectNoConnection { listener: party },
            "gone" => Step::CloseListener { listener: party },
            ">" => Step::Send { party, bytes },
            ">>" => Step::SendByteByByte { party, bytes },
            "<" => Step::Receive { party, bytes },
            "<<" => Step::ReceiveLater { party, bytes },
            "asks" => Step::ExpectUnreadInput { party },
            "close" => Step::Close { party },
            "closed" => Step::ExpectClosed { party },
            "ends" => Step::ExpectClosedOrReset { party },
            _ => return None,
        })
    }
}

impl<'a> ConfigChange<'a> {
    fn parse(text: &'a str) -> ConfigChange<'a> {
        match text.split_once(" => ").unwrap() {
            ("*", new) => ConfigChange::ReplaceAll { new },
            (old, new) => ConfigChange::Replace { old, new },
        }
    }
}

/// The first word, and what follows it after a space.
fn split_word(text: &str) -> (&str, &str) {
    text.split_once(' ').unwrap_or((text, ""))
}

/// A text to look for; an empty one would be found anywhere.
fn non_empty(text: &str) -> &str {
    assert!(!text.is_empty(), "a text is missing");
    text
}
