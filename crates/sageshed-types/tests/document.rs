//! The debug output of a configuration.

use sageshed_types::document::Document;

#[test]
fn debug_output_of_a_document_omits_its_text() {
    let document = Document {
        version: 3,
        text: "{\"keys\":[\"sesame\"]}".to_owned(),
    };
    let shown = format!("{document:?}");
    assert!(!shown.contains("sesame"), "{shown}");
}
