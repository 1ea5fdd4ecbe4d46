//! The page on settings lists the keys that the program takes: no more, no fewer.
//!
//! The keys of a section come from its type: a deserialiser asks the type for a value, notes each
//! member that the type names and supplies some value for it. The sections of a file come from what
//! the program says when it meets a key that it does not know.

use std::{cell, collections, env, fs, path};

use sageshed::settings;
use sageshed_decide::settings as decide;
use sageshed_types::catalog;
use serde::de::{self, IntoDeserializer, value};

type Keys = collections::BTreeSet<String>;

/// Supplies a value for whatever is asked, and notes the members of structs.
#[derive(Clone)]
struct Tracer<'a> {
    path: String,
    keys: &'a cell::RefCell<Keys>,
}

/// A text that is an address, a path and a name.
const SOME_TEXT: &str = "127.0.0.1:1";

macro_rules! supply {
    ($($method:ident $visit:ident $value:expr),* $(,)?) => {$(
        fn $method<V: de::Visitor<'de>>(self, visitor: V) -> Result<V::Value, Self::Error> {
            visitor.$visit($value)
        }
    )*};
}

impl<'de> de::Deserializer<'de> for Tracer<'_> {
    type Error = value::Error;

    supply! {
        deserialize_any visit_str SOME_TEXT,
        deserialize_str visit_str SOME_TEXT,
        deserialize_string visit_str SOME_TEXT,
        deserialize_bool visit_bool true,
        deserialize_u8 visit_u8 1,
        deserialize_u16 visit_u16 1,
        deserialize_u32 visit_u32 1,
        deserialize_u64 visit_u64 1,
        deserialize_i64 visit_i64 1,
        deserialize_f64 visit_f64 1.0,
    }

    fn deserialize_option<V: de::Visitor<'de>>(self, visitor: V) -> Result<V::Value, Self::Error> {
        visitor.visit_some(self)
    }

    fn deserialize_newtype_struct<V: de::Visitor<'de>>(
        self,
        _: &'static str,
        visitor: V,
    ) -> Result<V::Value, Self::Error> {
        visitor.visit_newtype_struct(self)
    }

    fn deserialize_seq<V: de::Visitor<'de>>(self, visitor: V) -> Result<V::Value, Self::Error> {
        visitor.visit_seq(value::SeqDeserializer::new(std::iter::once(self)))
    }

    fn deserialize_struct<V: de::Visitor<'de>>(
        self,
        _: &'static str,
        fields: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, Self::Error> {
        let members = fields.iter().map(|field| {
            let path = format!("{}.{field}", self.path);
            self.keys.borrow_mut().insert(path.clone());
            let keys = self.keys;
            (*field, Tracer { path, keys })
        });
        visitor.visit_map(value::MapDeserializer::new(members))
    }

    fn deserialize_enum<V: de::Visitor<'de>>(
        self,
        _: &'static str,
        variants: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, Self::Error> {
        visitor.visit_enum(variants[0].into_deserializer())
    }

    serde::forward_to_deserialize_any! {
        i8 i16 i32 i128 u128 f32 char bytes byte_buf unit unit_struct tuple tuple_struct map
        identifier ignored_any
    }
}

impl IntoDeserializer<'_, value::Error> for Tracer<'_> {
    type Deserializer = Self;

    fn into_deserializer(self) -> Self {
        self
    }
}

/// The members of `T`, under `section`.
fn members<T: de::DeserializeOwned>(section: &str) -> Keys {
    let keys = cell::RefCell::default();
    let tracer = Tracer {
        path: section.to_owned(),
        keys: &keys,
    };
    T::deserialize(tracer).unwrap_or_else(|e| panic!("{section}: {e}"));
    keys.into_inner()
}

struct File {
    heading: &'static str,
    /// A key by which the program sees which kind of file it is.
    told_by: &'static str,
    sections: Vec<(&'static str, Keys)>,
}

fn section<T: de::DeserializeOwned>(name: &'static str) -> (&'static str, Keys) {
    (name, members::<T>(name))
}

fn files() -> Vec<File> {
    vec![
        File {
            heading: "common.toml",
            told_by: "",
            sections: vec![
                section::<settings::Vm>("vms"),
                section::<catalog::Model>("models"),
                section::<settings::Service>("services"),
                section::<catalog::Class>("classes"),
                section::<catalog::Caller>("callers"),
                section::<settings::Operator>("operators"),
                section::<settings::Claims>("claims"),
                section::<settings::Lease>("lease"),
                section::<settings::ControlGroup>("control"),
                section::<decide::Policy>("routing"),
                section::<sageshed_place::Policy>("placement"),
                section::<settings::Limits>("limits"),
            ],
        },
        File {
            heading: "entry.toml",
            told_by: "vm = \"x\"\n",
            sections: vec![
                section::<settings::EntryListen>("listen"),
                section::<settings::Log>("log"),
                section::<settings::Shutdown>("shutdown"),
                section::<settings::Limits>("limits"),
            ],
        },
        File {
            heading: "control.toml",
            told_by: "data = \"x\"\n",
            sections: vec![
                section::<settings::ControlListen>("listen"),
                section::<settings::Log>("log"),
            ],
        },
    ]
}

/// The keys at the top of a file, in the program's own words.
fn top_keys(file: &File) -> Keys {
    let path = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("page-{}", file.heading));
    fs::write(&path, format!("{}no_such_key = 1\n", file.told_by)).unwrap();
    let problems = settings::load(&path).unwrap_err();
    let unknown = problems.list.iter().find(|it| it.key == "no_such_key");
    let message = &unknown.unwrap().message;
    let (_, list) = message.split_once("its keys are ").unwrap();
    list.split(", ")
        .map(|key| key.trim_matches('`').to_owned())
        .collect()
}

/// The keys that the page lists under the heading of a file.
fn listed(page: &str, heading: &str) -> Keys {
    let heading = format!("## {heading}");
    page.lines()
        .skip_while(|line| *line != heading)
        .skip(1)
        .take_while(|line| !line.starts_with("## "))
        .filter_map(|line| line.strip_prefix("| `")?.split('`').next())
        .map(str::to_owned)
        .collect()
}

/// An operator looks a key up and does not find it, or finds one that the program refuses.
#[test]
fn page_lists_every_key_and_no_other() {
    let page = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("docs/operators/settings.md");
    let page = fs::read_to_string(page).unwrap();
    for file in files() {
        let mut expected = top_keys(&file);
        for (name, members) in &file.sections {
            assert!(expected.remove(*name), "{} takes no `{name}`", file.heading);
            expected.extend(members.iter().cloned());
        }
        let listed = listed(&page, file.heading);
        let unlisted: Vec<&String> = expected.difference(&listed).collect();
        let unknown: Vec<&String> = listed.difference(&expected).collect();
        let heading = file.heading;
        assert!(
            unlisted.is_empty(),
            "{heading}: the page lacks {unlisted:?}"
        );
        assert!(
            unknown.is_empty(),
            "{heading}: the program takes no {unknown:?}"
        );
    }
}
