//! How the end of an answer's body is judged.

/// What marks the end of an answer's body on its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// The head states the length, or the answer has no body.
    Length,
    /// The body is chunked; the last chunk is empty.
    Chunked,
    /// Only the end of the connection marks the end of the body.
    UntilClose,
}

impl BodyFraming {
    /// Returns the framing of an answer with a stated length, or with a last `Transfer-Encoding`.
    ///
    /// Chunks mark the end only as the last encoding; others end with the connection.
    pub fn of(length: Option<u64>, encodings: Option<&str>) -> Self {
        let last = encodings.and_then(|names| names.rsplit(',').next());
        let is_chunked = last.is_some_and(|name| name.trim().eq_ignore_ascii_case("chunked"));
        match length {
            Some(_length) => Self::Length,
            None if is_chunked => Self::Chunked,
            None => Self::UntilClose,
        }
    }

    /// Returns the name in logs and metrics.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunked => "chunked",
            Self::UntilClose => "until-close",
        }
    }
}

/// Where in its content a body ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ContentEnd {
    /// The content has no structure that the node knows.
    Opaque,
    /// A stream of events ended before its first one.
    BeforeFirstEvent,
    /// A stream of events ended inside one.
    InsideEvent,
    /// A stream of events ended after a whole one.
    BetweenEvents,
}

/// What is known of a target's process after the end of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LifeSign {
    /// The process has answered a request that was sent after the end.
    Alive,
    /// No process listens at the target's address, or another one does.
    Gone,
    /// The process has not answered.
    Silent,
}

/// What is known when the connection ends a body without an error.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndEvidence {
    /// What marks the end of the body.
    pub framing: BodyFraming,
    /// Whether the answer has the target's mark for this attempt, or needs none.
    pub is_genuine: bool,
    /// Where in its content the body ended.
    pub content: ContentEnd,
    /// Whether the target may have cut the body off because it stayed unread.
    pub was_unread: bool,
    /// What is known of the process; only looked at where [`Self::needs_life_sign`].
    pub life: LifeSign,
}

impl EndEvidence {
    /// Returns whether the end can only be judged by whether the target's process lives on.
    ///
    /// A process that ends closes its connections like one that has answered completely.
    pub fn needs_life_sign(self) -> bool {
        let is_cut = matches!(
            self.content,
            ContentEnd::InsideEvent | ContentEnd::BeforeFirstEvent
        );
        let is_doubtful = is_cut || self.was_unread;
        self.is_genuine && self.framing == BodyFraming::UntilClose && !is_doubtful
    }
}

/// Whether a body that has ended is the whole one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyEnd {
    /// The body is complete.
    Whole,
    /// The body was cut off, for this reason.
    Cut(&'static str),
    /// Nothing shows whether the body is complete, for this reason.
    Unknown(&'static str),
}

impl BodyEnd {
    /// Judges an end by what is known of it.
    pub fn judge(evidence: EndEvidence) -> Self {
        if !evidence.is_genuine {
            return Self::Cut("the answer lacks the target's mark for this attempt");
        }
        let is_unframed = evidence.framing == BodyFraming::UntilClose;
        match evidence.content {
            ContentEnd::InsideEvent => return Self::Cut("the body ended inside an event"),
            ContentEnd::BeforeFirstEvent if is_unframed => {
                return Self::Cut("the connection ended before the first event");
            }
            ContentEnd::Opaque | ContentEnd::BeforeFirstEvent | ContentEnd::BetweenEvents => {}
        }
        if !is_unframed {
            return Self::Whole;
        }
        // A process that cuts off what nobody reads lives on.
        if evidence.was_unread {
            return Self::Unknown("the target may have cut the body off as it was not read");
        }
        match evidence.life {
            LifeSign::Alive => Self::Whole,
            LifeSign::Gone => Self::Cut("the target's process ended with the answer"),
            LifeSign::Silent => Self::Unknown("the target gave no sign of life after the answer"),
        }
    }

    /// Returns why the body must not be passed on as the whole one; `None` if it is.
    pub const fn fault(self) -> Option<&'static str> {
        match self {
            Self::Whole => None,
            Self::Cut(reason) | Self::Unknown(reason) => Some(reason),
        }
    }
}
