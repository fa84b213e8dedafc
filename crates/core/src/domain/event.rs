//! The closed list of log events. `docs/events.md` lists the same events for operators.

/// Severity of a log event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    /// The process or a request is affected.
    Error,
    /// Something failed and is retried or worked around.
    Warn,
    /// A step in the normal life of the process.
    Info,
    /// Detail for the search of faults.
    Debug,
}

/// The row of an event in the catalogue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventInfo {
    /// Number of the event. It never changes its meaning.
    pub number: u16,
    /// Severity.
    pub severity: Severity,
    /// Short name for searches.
    pub name: &'static str,
    /// Text for the reader.
    pub text: &'static str,
}

macro_rules! events {
    ($($(#[$doc:meta])* $event:ident = ($number:literal, $severity:ident, $name:literal, $text:literal),)*) => {
        /// Everything that the system logs.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum Event {
            $($(#[$doc])* $event,)*
        }

        impl Event {
            /// All events, in the order of their numbers.
            pub const ALL: &'static [Event] = &[$(Event::$event,)*];

            /// Returns the row of the catalogue for this event.
            pub fn info(self) -> EventInfo {
                match self {
                    $(Event::$event => EventInfo {
                        number: $number,
                        severity: Severity::$severity,
                        name: $name,
                        text: $text,
                    },)*
                }
            }
        }
    };
}

events! {
    /// A library logged a message. Fields: `source`; the text is that of the library.
    LibraryMessage = (1, Warn, "library_message", "a library logged a message"),
    /// The process serves. Fields: `role`, `host`, `address`, `admin`.
    Serving = (100, Info, "serving", "the process serves"),
    /// A termination signal started the drain. Fields: `signal`, `limit`.
    DrainStarted = (101, Info, "drain_started", "a signal started the drain"),
    /// A further termination signal was ignored. Fields: `signal`.
    SignalIgnored = (102, Info, "signal_ignored", "the drain is running, so the signal changes nothing"),
    /// Everything that ran has finished.
    DrainFinished = (103, Info, "drain_finished", "all running requests have finished"),
    /// The drain limit passed. Fields: `limit`.
    DrainLimitReached = (104, Error, "drain_limit_reached", "the drain limit passed while requests were running"),
    /// The process could not start or failed. Fields: `error`.
    ProcessFailed = (105, Error, "process_failed", "the process failed"),
    /// A team's declarations could not be read. Fields: `team`, `error`.
    TreeUnreadable = (200, Error, "tree_unreadable", "the declarations of a team cannot be read; the last accepted ones stay in force"),
    /// A team's state was already known. Fields: `team`.
    TreeKnown = (201, Debug, "tree_known", "the team is known at this revision already"),
    /// The list of hosts could not be read. Fields: `error`.
    HostsUnreadable = (202, Warn, "hosts_unreadable", "the list of hosts cannot be read; the last one stays in force"),
    /// A connection could not be accepted. Fields: `error`.
    AcceptFailed = (300, Warn, "accept_failed", "a connection could not be accepted"),
    /// A caller's connection ended with an error. Fields: `error`.
    CallerConnectionEnded = (301, Debug, "caller_connection_ended", "a caller's connection ended with an error"),
    /// The server for other processes ended. Fields: `address`, `error`.
    RpcServerEnded = (302, Error, "rpc_server_ended", "the server for other processes ended"),
    /// An answer of the administration server could not be written. Fields: `error`.
    AdminAnswerLost = (303, Debug, "admin_answer_lost", "an answer of the administration server could not be written"),
}
