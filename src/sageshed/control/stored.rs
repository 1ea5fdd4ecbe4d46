//! Values in side files of the data folder, which help after a start and may be missing.

use sageshed_disk::side_file;
use serde::{Serialize, de};

/// The value in `file`, if there is one that can be read.
pub(super) fn read<T: de::DeserializeOwned>(file: &side_file::SideFile) -> Option<T> {
    match file.read() {
        Ok(content) => decode(file, &content?),
        Err(e) => {
            ::log::warn!(file:? = file, error:% = e; "control: cannot read a side file");
            None
        }
    }
}

/// The value that `file` holds as `content`, if it can be decoded.
pub(super) fn decode<T: de::DeserializeOwned>(
    file: &side_file::SideFile,
    content: &[u8],
) -> Option<T> {
    sageshed_vms::decode(content)
        .inspect_err(
            |e| ::log::warn!(file:? = file, error:% = e; "control: cannot decode a side file"),
        )
        .ok()
}

/// Replaces the value in `file`. Returns whether it is there.
pub(super) fn write<T: Serialize>(file: &side_file::SideFile, value: &T) -> bool {
    let content = sageshed_vms::encode(value).map_err(|e| e.to_string());
    let replaced = content.and_then(|it| file.replace(&it).map_err(|e| e.to_string()));
    replaced
        .inspect_err(|e| ::log::warn!(file:? = file, error = e.as_str(); "control: cannot write a side file"))
        .is_ok()
}
