//! Log lines of the configuration.

use pier_config::{changes, documents, watches};

/// Logs that a version came into force, and what it changes.
pub(super) fn log_applied(
    record: &watches::ParsedConfig,
    before: Option<&documents::ConfigDocument>,
) {
    log::info!(
        event = "config-applied",
        version:% = record.version,
        document:% = record.document.name;
        ""
    );
    let Some(before) = before else { return };
    for change in changes::DocumentDiff::between(before, &record.document).changes {
        log::info!(event = "config-change", version:% = record.version, change:% = change; "");
    }
}

/// Logs what is wrong with a document as errors, one line per fault if it was refused.
pub(super) fn log_report(report: &watches::WatchReport) {
    let watches::WatchReport::CopyRefused {
        version,
        source,
        error,
    } = report
    else {
        log::error!(event = "config-trouble", cause:% = report; "");
        return;
    };
    for fault in &error.faults {
        log::error!(
            event = "config-refused",
            version:% = version,
            source:% = source,
            fault:% = fault;
            ""
        );
    }
}
