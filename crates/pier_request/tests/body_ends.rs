//! Only an end that is known to be complete passes as one.

use pier_request::attempts::{BodyEnd, BodyFraming, ContentEnd, EndEvidence, LifeSign};

const fn evidence(framing: BodyFraming, content: ContentEnd, life: LifeSign) -> EndEvidence {
    EndEvidence {
        framing,
        is_genuine: true,
        content,
        was_unread: false,
        life,
    }
}

/// Guards against an end without framing that counts as complete without a sign of life.
#[test]
fn an_end_without_framing_is_whole_only_if_the_process_lives_on() {
    for content in [ContentEnd::Opaque, ContentEnd::BetweenEvents] {
        for (life, is_whole) in [
            (LifeSign::Alive, true),
            (LifeSign::Gone, false),
            (LifeSign::Silent, false),
        ] {
            let evidence = evidence(BodyFraming::UntilClose, content, life);
            assert!(evidence.needs_life_sign());
            assert_eq!(BodyEnd::judge(evidence).fault().is_none(), is_whole);
        }
    }
}

/// Guards against encodings without chunks whose end counts as marked.
#[test]
fn only_chunks_as_the_last_encoding_mark_the_end() {
    for (length, encodings, framing) in [
        (Some(0), None, BodyFraming::Length),
        (Some(5), None, BodyFraming::Length),
        (None, Some("chunked"), BodyFraming::Chunked),
        (None, Some("gzip, Chunked "), BodyFraming::Chunked),
        (None, Some("chunked, gzip"), BodyFraming::UntilClose),
        (None, Some("identity"), BodyFraming::UntilClose),
        (None, Some(""), BodyFraming::UntilClose),
        (None, None, BodyFraming::UntilClose),
    ] {
        assert_eq!(BodyFraming::of(length, encodings), framing, "{encodings:?}");
    }
}

/// Guards against a target that cuts an unread answer off and lives on, so that the part passes as whole.
#[test]
fn an_end_without_framing_after_a_long_pause_is_not_whole() {
    for content in [ContentEnd::Opaque, ContentEnd::BetweenEvents] {
        let mut unframed = evidence(BodyFraming::UntilClose, content, LifeSign::Alive);
        unframed.was_unread = true;
        assert!(!unframed.needs_life_sign());
        assert!(matches!(BodyEnd::judge(unframed), BodyEnd::Unknown(_)));
        let mut framed = evidence(BodyFraming::Chunked, content, LifeSign::Silent);
        framed.was_unread = true;
        assert_eq!(BodyEnd::judge(framed), BodyEnd::Whole);
    }
}

/// Guards against framed answers that wait for, or are cut by, the check of the process.
#[test]
fn a_framed_end_does_not_depend_on_the_process() {
    for framing in [BodyFraming::Length, BodyFraming::Chunked] {
        let evidence = evidence(framing, ContentEnd::Opaque, LifeSign::Silent);
        assert!(!evidence.needs_life_sign());
        assert_eq!(BodyEnd::judge(evidence), BodyEnd::Whole);
    }
}

/// Guards against events or answers of others that pass because of their framing.
#[test]
fn framing_does_not_outweigh_the_content() {
    for framing in [
        BodyFraming::Length,
        BodyFraming::Chunked,
        BodyFraming::UntilClose,
    ] {
        let inside = evidence(framing, ContentEnd::InsideEvent, LifeSign::Alive);
        assert!(matches!(BodyEnd::judge(inside), BodyEnd::Cut(_)));
        let mut foreign = evidence(framing, ContentEnd::Opaque, LifeSign::Alive);
        foreign.is_genuine = false;
        assert!(matches!(BodyEnd::judge(foreign), BodyEnd::Cut(_)));
    }
}
