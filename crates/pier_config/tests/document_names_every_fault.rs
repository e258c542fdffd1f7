//! A document is accepted as a whole, or refused with an error that names every fault.

use pier_config::documents;
use pier_types::priorities;

const SAMPLE: &str = include_str!("../../../examples/laurel-north.ini");

fn faults_of(text: &str) -> Vec<String> {
    match text.parse::<documents::ConfigDocument>() {
        Ok(_) => Vec::new(),
        Err(error) => error.faults.iter().map(ToString::to_string).collect(),
    }
}

fn assert_fault(text: &str, expected: &str) {
    let faults = faults_of(text);
    assert!(
        faults.iter().any(|fault| fault.contains(expected)),
        "{expected:?} is not among {faults:#?}"
    );
}

#[test]
fn samples_are_valid() {
    for text in [SAMPLE, include_str!("../../../examples/tarifas.ini")] {
        assert_eq!(faults_of(text), Vec::<String>::new());
    }
}

#[test]
fn customer_is_found_by_key() {
    let document = SAMPLE.parse::<documents::ConfigDocument>().unwrap();
    let (name, section) = document.customer_of("sample-key-strathmore").unwrap();
    assert_eq!(name.as_str(), "strathmore-college");
    assert_eq!(section.max_priority, priorities::RequestPriority::High);
    assert!(document.customer_of("sample-key").is_none());
}

#[test]
fn each_wrong_entry_is_named_with_what_is_allowed() {
    let cases = [
        (
            "members = 4",
            "members = many",
            "[model drafter] members: found \"many\"; allowed: a whole number from 1 to 64",
        ),
        (
            "cold-limit = 2",
            "cold-limit = 25",
            "[model drafter] cold-limit: found 25; allowed: at most warm-limit, 24",
        ),
        (
            "roles = unified",
            "roles = prefill:1 decode:2",
            "found 3 roles; allowed: roles that add up to members, 4",
        ),
        (
            "max-tokens = 4096",
            "max-tokens = 40960",
            "at most context-tokens, 32768",
        ),
        (
            "state = in-service",
            "state = off",
            "allowed: in-service, out-of-service",
        ),
        (
            "replicas.drafter = 5",
            "replicas.writer = 5",
            "[data-centre scot-central-a] replicas.writer",
        ),
        ("models = drafter", "models = writer", "allowed: drafter"),
        (
            "retry-percent = 10",
            "retry-percent = 101",
            "a whole number from 0 to 100",
        ),
        (
            "repeat = completions, GET",
            "repeat = lodge",
            "[customer strathmore-college] repeat",
        ),
        (
            "freshness-ms = 2500",
            "freshness-ms =",
            "[limits] freshness-ms: found \"\"",
        ),
        (
            "freshness-ms",
            "fresh-ms",
            "[limits] fresh-ms: found an unknown key; allowed: weight-store",
        ),
        ("[limits]", "[limit]", "[limits]: found no section"),
        ("[limits]", "[limits", "allowed: [SECTION]"),
        (
            "[service nominations]",
            "[service two words]",
            "the name \"two words\"",
        ),
        (
            "weight = 3",
            "weight = 3\nweight = 4",
            "weight: found the key twice",
        ),
        (
            "[data-centre scot-central-b]",
            "[data-centre scot-central-a]",
            "found the section twice",
        ),
        (
            "max-body-bytes = 8388608",
            "max-body-bytes = 4096",
            "[model drafter] max-body-bytes: found 1048576",
        ),
        (
            "one-time-paths = /lodge",
            "one-time-paths = lodge",
            "a slash in front",
        ),
    ];
    for (original, wrong, expected) in cases {
        assert!(
            SAMPLE.contains(original),
            "{original:?} is not in the sample"
        );
        assert_fault(&SAMPLE.replacen(original, wrong, 1), expected);
    }
}

#[test]
fn all_faults_are_reported_at_once() {
    let text = SAMPLE
        .replacen("members = 4", "members = 0", 1)
        .replacen("weight = 1", "weight = 0", 1)
        .replacen("freshness-ms", "fresh-ms", 1);
    assert_eq!(faults_of(&text).len(), 3, "{:#?}", faults_of(&text));
}

#[test]
fn pasted_key_is_not_shown() {
    let hash = documents::KeyHash::of("sample-key-strathmore").to_string();
    let text = SAMPLE.replacen(&hash, "sample-key-strathmore", 1);
    assert_fault(&text, "key-sha256: found 21 characters (not shown)");
    assert!(!faults_of(&text).join("").contains("sample-key"));
}

#[test]
fn one_key_belongs_to_one_customer() {
    let first = documents::KeyHash::of("sample-key-strathmore").to_string();
    let second = documents::KeyHash::of("sample-key-lochside").to_string();
    assert_fault(&SAMPLE.replacen(&second, &first, 1), "the key of customer");
}

#[test]
fn one_time_path_is_never_repeatable() {
    let document = SAMPLE.parse::<documents::ConfigDocument>().unwrap();
    let service = document.services.values().next().unwrap();
    assert!(service.may_repeat("GET", "/status?of=1"));
    assert!(service.may_repeat("GET", "/lodgers"));
    assert!(!service.may_repeat("POST", "/status"));
    for path in [
        "/lodge",
        "/lodge/7",
        "/lodge?x=1",
        "/a/../lodge",
        "//lodge",
        "/%6Codge",
    ] {
        assert!(!service.may_repeat("GET", path), "{path}");
    }
}
