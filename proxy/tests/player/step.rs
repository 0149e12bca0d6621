//! The steps of an exchange, and the parser for their lines.

use std::time::Duration;

/// A change of the configuration's text.
pub(super) enum ConfigChange<'a> {
    /// `* => NEW`
    ReplaceAll { new: &'a str },
    /// `OLD => NEW`
    Replace { old: &'a str, new: &'a str },
}

/// The step that a line of an exchange describes. `bytes` is in the notation of the exchanges and can refer to names that earlier
/// steps define.
pub(super) enum Step<'a> {
    /// A setting that [`super::setup`] reads before the program starts.
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
    /// Like `Receive`, but fails if the bytes arrive too soon after the last `Send`.
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
        let (first_word, rest) = split_word(line);
        Step::parse_process_step(first_word, rest)
            .or_else(|| Step::parse_party_step(first_word, rest))
            .unwrap_or_else(|| panic!("unknown step: {line}"))
    }

    /// Parses a step that begins with a keyword. Returns `None` if the first word is not a keyword.
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

    /// Parses a step of a client, an operator, a database or the discovery agent. Returns `None` if its second word is not a verb.
    fn parse_party_step(party: &'a str, action: &'a str) -> Option<Step<'a>> {
        let (verb, bytes) = split_word(action);
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

/// Splits a text after its first word.
fn split_word(text: &str) -> (&str, &str) {
    text.split_once(' ').unwrap_or((text, ""))
}

/// Panics if the text to search for is empty, because each log line would contain it.
fn non_empty(text: &str) -> &str {
    assert!(!text.is_empty(), "the step has no text to search for");
    text
}
