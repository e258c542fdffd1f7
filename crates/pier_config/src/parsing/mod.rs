//! Parses INI text into the typed document and collects all faults.

mod cross_check;
mod customer_parser;
mod data_centre_parser;
mod document_parser;
mod limit_parser;
mod model_parser;
mod section_reader;
mod service_parser;

pub(crate) use document_parser::parse_document;
