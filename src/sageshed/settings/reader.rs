//! Reads one TOML file section by section and keeps going past what is wrong.
//!
//! Serde stops at the first error of a value. A file is therefore parsed once into TOML's own
//! tables, which keep the place of each key, and each section, and each member of a list of tables,
//! is deserialised on its own. An operator thus sees one problem a section or member at once,
//! instead of one a start.

use std::{collections, fs, ops, path};

use serde::de;
use toml::de as toml_de;

use super::problem;

/// A value and where it stands in its file.
#[derive(Debug, Clone)]
pub(super) struct Located<T> {
    /// The value.
    pub value: T,
    /// The place of the section and of each of its keys.
    pub place: Place,
}

/// Where a section stands.
#[derive(Debug, Clone, Default)]
pub(super) struct Place {
    file: path::PathBuf,
    section: String,
    line: usize,
    lines: collections::BTreeMap<String, usize>,
}

impl Place {
    /// A problem with `key` of this section.
    pub fn problem(&self, key: &str, message: impl Into<String>) -> problem::Problem {
        let line = self.lines.get(key).copied().unwrap_or(self.line);
        let key = match (self.section.as_str(), key) {
            ("", key) => key.to_owned(),
            (section, "") => section.to_owned(),
            (section, key) => format!("{section}.{key}"),
        };
        problem::Problem {
            file: self.file.clone(),
            line: (line > 0).then_some(line),
            key,
            message: message.into(),
        }
    }
}

/// The text of one file.
pub(super) struct Source {
    file: path::PathBuf,
    text: String,
}

impl Source {
    /// Reads `file`.
    pub fn read(file: &path::Path) -> Result<Self, problem::Problem> {
        let text = fs::read_to_string(file).map_err(|e| problem::Problem {
            file: file.to_owned(),
            line: None,
            key: String::new(),
            message: format!("cannot be read: {e}; check the path and its permissions"),
        })?;
        Ok(Self {
            file: file.to_owned(),
            text,
        })
    }

    /// A text that was not read from a file; problems name `origin`.
    pub fn of(origin: &path::Path, text: &str) -> Self {
        Self {
            file: origin.to_owned(),
            text: text.to_owned(),
        }
    }

    /// Parses it. What is not TOML is reported alone: what else seems wrong then may follow from it.
    pub fn reader(&self) -> Result<Reader<'_>, Vec<problem::Problem>> {
        let (table, errors) = toml_de::DeTable::parse_recoverable(&self.text);
        let mut reader = Reader {
            source: self,
            table: table.into_inner(),
            taken: Vec::new(),
            problems: Vec::new(),
        };
        for error in &errors {
            reader.toml_error(error, "");
        }
        if errors.is_empty() {
            Ok(reader)
        } else {
            Err(reader.problems)
        }
    }
}

/// One file while it is read.
pub(super) struct Reader<'a> {
    source: &'a Source,
    table: toml_de::DeTable<'a>,
    taken: Vec<&'static str>,
    problems: Vec<problem::Problem>,
}

impl<'a> Reader<'a> {
    /// The place of the file's own keys.
    pub fn top(&self) -> Place {
        self.place("", 0..0, Some(&self.table))
    }

    /// The value at `key`, which must be there.
    pub fn required<T: de::DeserializeOwned>(&mut self, key: &'static str) -> Option<Located<T>> {
        if !self.has(key) {
            self.taken.push(key);
            let message = "is missing; add it, as docs/operators/settings.md shows";
            let problem = self.top().problem(key, message);
            self.problems.push(problem);
            return None;
        }
        self.optional(key)
    }

    /// The value at `key`, or its default.
    pub fn section<T: de::DeserializeOwned + Default>(&mut self, key: &'static str) -> Located<T> {
        self.optional(key).unwrap_or_else(|| Located {
            value: T::default(),
            place: self.place(key, 0..0, None),
        })
    }

    /// The value at `key`, if it is there and right.
    pub fn optional<T: de::DeserializeOwned>(&mut self, key: &'static str) -> Option<Located<T>> {
        self.taken.push(key);
        let value = self.table.get(key)?.clone();
        self.convert(key, value)
    }

    /// Each member of the list of tables at `key` that is right.
    pub fn list<T: de::DeserializeOwned>(&mut self, key: &'static str) -> Vec<Located<T>> {
        self.taken.push(key);
        let Some(value) = self.table.get(key).cloned() else {
            return Vec::new();
        };
        let span = value.span();
        let toml_de::DeValue::Array(members) = value.into_inner() else {
            let message = format!("must be a list of tables; write `[[{key}]]` above each");
            let problem = self.place(key, span, None).problem("", message);
            self.problems.push(problem);
            return Vec::new();
        };
        members
            .into_iter()
            .filter_map(|member| self.convert(key, member))
            .collect()
    }

    /// The file as one value.
    pub fn whole<T: de::DeserializeOwned>(&mut self) -> Option<Located<T>> {
        let value = toml_de::DeValue::Table(self.table.clone());
        self.convert("", toml::Spanned::new(0..self.source.text.len(), value))
    }

    /// The problems so far.
    pub fn problems(self) -> Vec<problem::Problem> {
        self.problems
    }

    /// The problems, with one for each key that nobody asked for.
    pub fn finish(mut self) -> Vec<problem::Problem> {
        let top = self.top();
        for key in self.table.keys() {
            let name: &str = key.get_ref();
            if !self.taken.contains(&name) {
                let known = self.taken.join("`, `");
                let message = format!("is not a key of this file; its keys are `{known}`");
                self.problems.push(top.problem(name, message));
            }
        }
        self.problems
    }

    /// Whether the file has `key`.
    pub fn has(&self, key: &str) -> bool {
        self.table.contains_key(key)
    }

    fn convert<T: de::DeserializeOwned>(
        &mut self,
        key: &'static str,
        value: toml::Spanned<toml_de::DeValue<'a>>,
    ) -> Option<Located<T>> {
        let place = self.place(key, value.span(), value.get_ref().as_table());
        let section = value.clone();
        match T::deserialize(toml_de::ValueDeserializer::from(value)) {
            Ok(value) => Some(Located { value, place }),
            Err(error) => {
                let span = error.span().unwrap_or_else(|| section.span());
                let path = key_at(section.get_ref(), &span, key);
                self.toml_error(&error, &path);
                None
            }
        }
    }

    fn toml_error(&mut self, error: &toml_de::Error, key: &str) {
        let line = error.span().map(|span| self.line(span.start));
        self.problems.push(problem::Problem {
            file: self.source.file.clone(),
            line,
            key: key.to_owned(),
            message: error.message().replace('\n', ", "),
        });
    }

    fn place(
        &self,
        section: &str,
        span: ops::Range<usize>,
        table: Option<&toml_de::DeTable<'_>>,
    ) -> Place {
        let keys = table.into_iter().flatten();
        let lines = keys
            .map(|(key, _)| {
                (
                    key.get_ref().clone().into_owned(),
                    self.line(key.span().start),
                )
            })
            .collect();
        Place {
            file: self.source.file.clone(),
            section: section.to_owned(),
            line: if span.is_empty() {
                0
            } else {
                self.line(span.start)
            },
            lines,
        }
    }

    /// The line of a byte position, from 1.
    fn line(&self, position: usize) -> usize {
        let before = self.source.text.get(..position);
        1 + before.unwrap_or_default().matches('\n').count()
    }
}

/// The dotted name of the innermost key that `span` is in.
fn key_at(value: &toml_de::DeValue<'_>, span: &ops::Range<usize>, path: &str) -> String {
    let Some(table) = value.as_table() else {
        return path.to_owned();
    };
    for (key, value) in table {
        let name = match path {
            "" => key.get_ref().clone().into_owned(),
            path => format!("{path}.{}", key.get_ref()),
        };
        if within(span, &key.span()) {
            return name;
        }
        if within(span, &value.span()) {
            return key_at(value.get_ref(), span, &name);
        }
    }
    path.to_owned()
}

fn within(inner: &ops::Range<usize>, outer: &ops::Range<usize>) -> bool {
    outer.start <= inner.start && inner.end <= outer.end
}
