//! Tests which idempotency keys are accepted and what a claim object stores.

use std::time;

use pier_request::claims;
use pier_types::{codes, ids, times};

const RETENTION: claims::ClaimRetention = claims::ClaimRetention {
    retention: time::Duration::from_secs(100),
    skew: time::Duration::from_secs(3),
    margin: time::Duration::from_secs(10),
};

fn record() -> claims::ClaimRecord {
    claims::ClaimRecord {
        fingerprint: ids::RequestFingerprint::of("ledger", "/services/post", b"{}"),
        nonce: ids::WriteNonce::new(9),
        node: "node-1".parse().unwrap(),
        claimed_at: times::WallTime::from_millis(5),
        active_until: times::WallTime::from_millis(9),
        state: claims::ClaimState::Claimed,
    }
}

fn answer(body: &[u8]) -> claims::StoredAnswer {
    claims::StoredAnswer {
        status: 201,
        content_type: "application/octet-stream".to_owned(),
        body: claims::StoredBody::of(body),
    }
}

#[test]
fn malformed_keys_are_refused() {
    let long = format!("1-{}", "a".repeat(65));
    let bad = [
        "",
        "1764800000000",
        "-abcdefgh",
        "1-abcdefg",
        "+1-abcdefgh",
        "1-abc defgh",
    ];
    for text in bad.into_iter().chain([
        long.as_str(),
        "1-abcdefgh-i",
        "01-abcdefgh",
        "9999999999999999-abcdefgh",
    ]) {
        let parsed = text.parse::<claims::IdempotencyKey>();
        assert_eq!(parsed, Err(codes::ResultCode::MalformedKey), "{text}");
    }
}

#[test]
fn keys_outside_the_retention_are_refused() {
    let key = "1000000-lodging_1".parse().unwrap();
    let check = |millis| RETENTION.check(&key, times::WallTime::from_millis(millis));
    assert_eq!(check(1_100_000), Ok(()));
    assert_eq!(check(1_100_001), Err(codes::ResultCode::ExpiredKey));
    assert_eq!(check(994_000), Ok(()));
    assert_eq!(check(993_999), Err(codes::ResultCode::MalformedKey));
}

#[test]
fn a_claim_is_kept_until_every_clock_refuses_its_key() {
    let key = "1000000-lodging_1".parse().unwrap();
    let true_time = 1_103_000 + 10_000;
    let fast_clock = times::WallTime::from_millis(true_time + 3_000);
    assert!(!RETENTION.may_delete(&key, fast_clock));
    assert!(RETENTION.may_delete(&key, fast_clock.after(time::Duration::from_millis(1))));
}

#[test]
fn a_record_round_trips_through_its_encoding() {
    for body in [&b"{\"lodged\":true}"[..], &[0, 159, 255]] {
        let record = record().with_answer(answer(body));
        let decoded = claims::ClaimRecord::from_bytes(&record.to_bytes().unwrap()).unwrap();
        assert_eq!(decoded, record);
        let claims::ClaimState::Finished { answer } = decoded.state else {
            panic!("no answer kept");
        };
        assert_eq!(answer.body.to_bytes().unwrap(), body);
    }
    assert!(claims::ClaimRecord::from_bytes(b"{}").is_err());
}

#[test]
fn an_answer_over_the_limit_is_not_kept() {
    let record = record().with_answer(answer(&vec![0xff; 460_000]));
    assert_eq!(record.state, claims::ClaimState::FinishedUnkept);
}
