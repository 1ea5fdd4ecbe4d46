//! What is shown of a configuration.

use sageshed_types::document::Document;

#[test]
fn what_is_printed_of_a_document_leaves_its_text_out() {
    let document = Document {
        version: 3,
        text: "{\"keys\":[\"sesame\"]}".to_owned(),
    };
    let shown = format!("{document:?}");
    assert!(!shown.contains("sesame"), "{shown}");
}
