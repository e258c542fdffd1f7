//! From INI text to the typed document; every fault is collected.

mod cross_check;
mod customer_parser;
mod data_centre_parser;
mod document_parser;
mod limit_parser;
mod model_parser;
mod section_reader;
mod service_parser;

pub(crate) use document_parser::parse_document;
