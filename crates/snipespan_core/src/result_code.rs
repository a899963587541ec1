//! Numbered result codes with their class, HTTP and gRPC status, and retry rule.

use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;

/// Whether the request ran, as a result code states it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Class {
    /// The request ran and its answer is complete.
    #[display("ok")]
    Ok,
    /// The request did not run and never will.
    #[display("not run")]
    NotRun,
    /// The request ran fully or in part, and its answer is incomplete.
    #[display("failed")]
    Failed,
    /// It is unknown whether the request ran.
    #[display("unknown")]
    Unknown,
}

/// Whether the same request may be retried.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Retry {
    /// Not useful; the same request would get the same answer.
    #[display("no")]
    No,
    /// Safe, and a retry may succeed.
    #[display("yes")]
    Yes,
    /// Safe only for a repeatable request.
    #[display("if repeatable")]
    IfRepeatable,
    /// A retry with the same idempotency key returns the outcome of the first request.
    #[display("with the same key")]
    SameKey,
}

/// Delay before a retry if no better estimate is known.
pub const DEFAULT_RETRY_DELAY: Duration = Duration::from_secs(1);

impl Retry {
    /// Returns the default delay before a retry, or `None` if a retry is not useful.
    pub const fn delay(self) -> Option<Duration> {
        match self {
            Self::No => None,
            Self::Yes | Self::IfRepeatable | Self::SameKey => Some(DEFAULT_RETRY_DELAY),
        }
    }
}

/// Row of the table of result codes.
#[derive(Clone, Copy, Debug)]
pub struct ResultCodeRow {
    /// The code.
    pub code: ResultCode,
    /// Number on the wire and in logs.
    pub number: u16,
    /// Name in answers and as a metric label; never changes.
    pub name: &'static str,
    /// Whether the request ran.
    pub class: Class,
    /// HTTP status returned to callers.
    pub http_status: u16,
    /// gRPC status code returned to operators.
    pub grpc_status: u8,
    /// Whether the request may be retried.
    pub retry: Retry,
    /// One-sentence description, also used for the documentation.
    pub meaning: &'static str,
}

macro_rules! result_codes {
    ($($number:literal $variant:ident $name:literal $class:ident $http:literal $grpc:literal $retry:ident $meaning:literal;)*) => {
        /// Outcome of a request or of an operator's call.
        #[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(into = "u16", try_from = "u16")]
        pub enum ResultCode {
            $(
                #[doc = $meaning]
                #[display($name)]
                $variant = $number,
            )*
        }

        /// All result codes, in ascending order of number.
        pub const RESULT_CODES: &[ResultCodeRow] = &[
            $(ResultCodeRow {
                code: ResultCode::$variant,
                number: $number,
                name: $name,
                class: Class::$class,
                http_status: $http,
                grpc_status: $grpc,
                retry: Retry::$retry,
                meaning: $meaning,
            },)*
        ];

        impl ResultCode {
            /// Returns the table row of this code.
            pub const fn row(self) -> &'static ResultCodeRow {
                match self {
                    $(Self::$variant => &ResultCodeRow {
                        code: Self::$variant,
                        number: $number,
                        name: $name,
                        class: Class::$class,
                        http_status: $http,
                        grpc_status: $grpc,
                        retry: Retry::$retry,
                        meaning: $meaning,
                    },)*
                }
            }
        }
    };
}

result_codes! {
    // Number, variant, name, class, HTTP status, gRPC status, retry, meaning.
    0 Ok "ok" Ok 200 0 No "The answer is whole.";
    100 InvalidRequest "invalid_request" NotRun 400 3 No "The request cannot be understood; the message says why.";
    101 Unauthenticated "unauthenticated" NotRun 401 16 No "The API key or the operator's token is missing or not known.";
    102 AccountDisabled "account_disabled" NotRun 403 7 No "The client account is disabled.";
    103 UnknownModel "unknown_model" NotRun 404 5 No "No serving configuration names this model.";
    104 UnknownService "unknown_service" NotRun 404 5 No "No serving configuration names this plain service.";
    105 RequestTooLarge "request_too_large" NotRun 413 8 No "The request body or its prompt is longer than the configured limit.";
    106 IdempotencyKeyMissing "idempotency_key_missing" NotRun 400 3 No "A call that may not be repeated needs an Idempotency-Key header.";
    107 IdempotencyKeyReused "idempotency_key_reused" NotRun 422 3 No "The idempotency key was used before with another request body.";
    200 Overloaded "overloaded" NotRun 503 8 Yes "The process has no room for another request.";
    201 NoBackendServer "no_backend_server" NotRun 503 14 Yes "No backend server for the target can be reached.";
    202 QueueFull "queue_full" NotRun 429 8 Yes "The backend server's queue is full.";
    203 CannotEndInTime "cannot_end_in_time" NotRun 503 4 Yes "The predicted wait leaves too little time for the request.";
    204 Leaving "leaving" NotRun 503 14 Yes "The process or backend server is leaving and takes no new work.";
    205 IncarnationMismatch "incarnation_mismatch" NotRun 503 14 Yes "The side process was replaced since the entry chose it.";
    206 AccountLimit "account_limit" NotRun 429 8 Yes "The client account has too many requests open.";
    207 NotReady "not_ready" NotRun 503 14 Yes "The process has no configuration yet.";
    208 ExpiredBeforeDispatch "expired_before_dispatch" NotRun 504 4 Yes "The time ran out before the request reached a backend server.";
    209 CallerGone "caller_gone" NotRun 499 1 Yes "The caller went away before the request reached a backend server.";
    210 StoreUnavailable "store_unavailable" NotRun 503 14 SameKey "The durable record could not be written, so the request was not started.";
    211 BackendUnreachable "backend_unreachable" NotRun 503 14 Yes "The side process could not connect to its backend server.";
    212 BackendRefused "backend_refused" NotRun 503 8 Yes "The backend server refused the request before running it.";
    213 PromptPartBlocked "prompt_part_blocked" NotRun 503 14 Yes "A part of the prompt ended several backend servers and is not sent to others for now.";
    300 BackendFailed "backend_failed" Failed 502 13 IfRepeatable "The backend server failed while it ran the request.";
    301 DeadlineExceeded "deadline_exceeded" Failed 504 4 IfRepeatable "The time ran out while the request ran.";
    302 AnswerCut "answer_cut" Failed 502 14 IfRepeatable "The answer stopped before its end.";
    303 AnswerCorrupt "answer_corrupt" Failed 502 15 IfRepeatable "The answer did not match the request, its length or its checksum.";
    304 Cancelled "cancelled" Failed 499 1 IfRepeatable "The request was cancelled while it ran.";
    400 OutcomeUnknown "outcome_unknown" Unknown 504 2 SameKey "The request was sent and its outcome was lost; it is not sent again.";
    401 InProgress "in_progress" Unknown 409 10 SameKey "A request with this idempotency key is still in progress.";
    402 ChangeUnknown "change_unknown" Unknown 504 2 SameKey "The store did not say whether the change took effect; ask again with its change id.";
    500 ConfigurationConflict "configuration_conflict" NotRun 409 10 No "Another change was accepted first; the message names it.";
    501 InvalidChange "invalid_change" NotRun 400 3 No "The change is not valid; the message says why.";
}

impl ResultCode {
    /// Returns the number used on the wire and in logs.
    pub const fn number(self) -> u16 {
        self as u16
    }

    /// Returns whether the request ran.
    pub const fn class(self) -> Class {
        self.row().class
    }

    /// Returns whether the request is known not to have run.
    pub const fn is_not_run(self) -> bool {
        matches!(self.class(), Class::NotRun)
    }
}

impl From<ResultCode> for u16 {
    fn from(code: ResultCode) -> Self {
        code.number()
    }
}

/// Error that a number is not assigned to any result code.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("{number} is not the number of a result code")]
pub struct UnknownResultCode {
    /// The unassigned number.
    pub number: u16,
}

impl TryFrom<u16> for ResultCode {
    type Error = UnknownResultCode;

    fn try_from(number: u16) -> Result<Self, Self::Error> {
        let row = RESULT_CODES.iter().find(|row| row.number == number);
        row.map(|row| row.code).ok_or(UnknownResultCode { number })
    }
}
