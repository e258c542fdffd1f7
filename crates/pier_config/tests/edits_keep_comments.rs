//! An edit changes one entry; the rest of the operator's text, including comments, stays as it is.

use pier_config::{changes, documents, edits};

const SAMPLE: &str = include_str!("../../../examples/laurel-north.ini");

fn out_of_service(name: &str) -> edits::DocumentEdit {
    edits::DocumentEdit::DataCentre {
        name: name.parse().unwrap(),
        state: documents::DataCentreState::OutOfService,
        even_last: false,
    }
}

#[test]
fn taking_a_data_centre_out_changes_one_line() {
    let edited = out_of_service("scot-central-b").apply(SAMPLE).unwrap();
    let pairs = SAMPLE.lines().zip(edited.lines());
    let differing = pairs
        .filter(|(before, after)| before != after)
        .collect::<Vec<_>>();
    assert_eq!(
        differing,
        vec![("state = in-service", "state = out-of-service")]
    );
}

#[test]
fn undrain_restores_the_original_text() {
    let vm = "sc-a-7".parse::<pier_types::ids::VmName>().unwrap();
    let drain = edits::DocumentEdit::DrainTarget {
        vm: vm.clone(),
        reason: "fan; see ticket = 12".to_owned(),
    };
    let drained = drain.apply(SAMPLE).unwrap();
    let document = drained.parse::<documents::ConfigDocument>().unwrap();
    assert_eq!(document.drained[&vm], "fan; see ticket = 12");
    let undrain = edits::DocumentEdit::UndrainTarget { vm: vm.clone() };
    let undrained = undrain.apply(&drained).unwrap();
    assert!(undrained.starts_with(SAMPLE));
    assert_eq!(
        undrain.apply(&undrained),
        Err(edits::EditError::NotDrained(vm))
    );
}

#[test]
fn last_data_centre_in_service_is_not_taken_out() {
    let one = out_of_service("scot-central-a").apply(SAMPLE).unwrap();
    let two = out_of_service("scot-central-b").apply(&one).unwrap();
    let refused = out_of_service("scot-central-c").apply(&two);
    assert!(matches!(refused, Err(edits::EditError::LastDataCentre(_))));
    let unknown = out_of_service("scot-central-d").apply(&two);
    assert!(matches!(
        unknown,
        Err(edits::EditError::UnknownDataCentre { .. })
    ));
}

#[test]
fn reason_that_would_not_round_trip_is_refused() {
    for reason in ["", "a\\", "a\nstate = in-service"] {
        let drain = edits::DocumentEdit::DrainTarget {
            vm: "sc-a-7".parse().unwrap(),
            reason: reason.to_owned(),
        };
        assert!(drain.apply(SAMPLE).is_err(), "{reason:?}");
    }
}

#[test]
fn canonical_form_round_trips() {
    for text in [SAMPLE, include_str!("../../../examples/tarifas.ini")] {
        let document = text.parse::<documents::ConfigDocument>().unwrap();
        let again = document.to_string().parse::<documents::ConfigDocument>();
        assert_eq!(again.as_ref(), Ok(&document));
        let diff = changes::DocumentDiff::between(&document, &again.unwrap());
        assert!(diff.is_empty());
    }
}

#[test]
fn diff_names_each_change_in_one_line() {
    let before = SAMPLE.parse::<documents::ConfigDocument>().unwrap();
    let after = SAMPLE
        .replacen("members = 4", "members = 8", 1)
        .replacen("replicas.drafter = 5", "", 1)
        .parse::<documents::ConfigDocument>()
        .unwrap();
    let diff = changes::DocumentDiff::between(&before, &after);
    let lines = diff.to_string();
    let expected = "[data-centre scot-central-a] replicas.drafter: removed, was 5\n\
                    [model drafter] members: 4 -> 8\n";
    assert_eq!(lines, expected);
}
