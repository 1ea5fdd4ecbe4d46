//! The pages say what is so: their links lead somewhere, their command lines are taken by the
//! program, their rules pass its checks, and their lists are those of the code.

use std::{collections, fs, path, process};

use sageshed::settings;
use sageshed_types::verdict;
use serde::{Deserialize, de};

/// A page of the repository.
struct Page {
    file: path::PathBuf,
    text: String,
}

/// A fenced block, with the line above its fence.
struct Block<'a> {
    kind: &'a str,
    above: &'a str,
    text: String,
}

fn root() -> &'static path::Path {
    path::Path::new(env!("CARGO_MANIFEST_DIR"))
}

fn page(name: &str) -> Page {
    let file = root().join(name);
    let text = fs::read_to_string(&file).unwrap_or_else(|e| panic!("{name}: {e}"));
    Page { file, text }
}

/// Every page, without those of build folders and hidden ones.
fn pages() -> Vec<Page> {
    let mut found = Vec::new();
    let mut folders = vec![root().to_owned()];
    while let Some(folder) = folders.pop() {
        for entry in fs::read_dir(folder).unwrap() {
            let path = entry.unwrap().path();
            let name = path.file_name().unwrap().to_string_lossy().into_owned();
            if path.is_dir() && !name.starts_with('.') && name != "target" {
                folders.push(path);
            } else if path.extension().is_some_and(|it| it == "md") {
                let text = fs::read_to_string(&path).unwrap();
                found.push(Page { file: path, text });
            }
        }
    }
    assert!(found.len() > 10, "only {} pages found", found.len());
    found
}

impl Page {
    fn blocks(&self) -> Vec<Block<'_>> {
        let mut blocks = Vec::new();
        let mut open: Option<Block<'_>> = None;
        let mut above = "";
        for line in self.text.lines() {
            match (line.strip_prefix("```"), open.take()) {
                (Some(_), Some(block)) => blocks.push(block),
                (Some(kind), None) => {
                    let text = String::new();
                    open = Some(Block { kind, above, text });
                }
                (None, Some(mut block)) => {
                    block.text.push_str(line);
                    block.text.push('\n');
                    open = Some(block);
                }
                (None, None) => {}
            }
            above = line;
        }
        blocks
    }

    /// The lines outside fenced blocks.
    fn prose(&self) -> impl Iterator<Item = &str> {
        let mut fenced = false;
        self.text.lines().filter(move |line| {
            let fence = line.starts_with("```");
            fenced ^= fence;
            !fence && !fenced
        })
    }

    /// The lines of `sh` blocks, and those of the README, which indents its commands.
    fn command_lines(&self) -> Vec<String> {
        let blocks = self.blocks();
        let shell = blocks.iter().filter(|block| block.kind == "sh");
        let mut lines: Vec<String> = shell
            .flat_map(|block| block.text.lines())
            .map(str::to_owned)
            .collect();
        let indented = self.prose().filter_map(|line| line.strip_prefix("    "));
        lines.extend(indented.map(str::to_owned));
        lines
    }

    /// What a link may name in this page after `#`.
    fn anchors(&self) -> collections::BTreeSet<String> {
        let headings = self.prose().filter(|line| line.starts_with('#'));
        let slug = |heading: &str| {
            let text = heading.trim_start_matches('#').trim().to_lowercase();
            let kept = text
                .chars()
                .filter(|c| c.is_alphanumeric() || "-_ ".contains(*c));
            kept.collect::<String>().replace(' ', "-")
        };
        headings.map(slug).collect()
    }
}

/// The targets of the links in a line.
fn links(line: &str) -> impl Iterator<Item = &str> {
    line.split("](")
        .skip(1)
        .filter_map(|rest| rest.split(')').next())
}

/// What is wrong with a link from `page`, if anything.
fn broken(page: &Page, link: &str) -> Option<String> {
    let (file, anchor) = link.split_once('#').unwrap_or((link, ""));
    let target = if file.is_empty() {
        page.file.clone()
    } else {
        page.file.parent().unwrap().join(file)
    };
    let from = page.file.strip_prefix(root()).unwrap().display();
    if !target.exists() {
        return Some(format!("{from}: `{link}` leads nowhere"));
    }
    if anchor.is_empty() {
        return None;
    }
    let text = fs::read_to_string(&target).unwrap();
    let anchors = Page { file: target, text }.anchors();
    (!anchors.contains(anchor)).then(|| format!("{from}: `{link}`: no such heading"))
}

/// A reader follows a link to a page that was renamed, or to a heading that is gone.
#[test]
fn every_relative_link_resolves() {
    let mut problems = Vec::new();
    for page in pages() {
        for link in page.prose().flat_map(links) {
            if !link.contains("://") {
                problems.extend(broken(&page, link));
            }
        }
    }
    assert!(problems.is_empty(), "{}", problems.join("\n"));
}

/// Takes note of the names of an enum's variants, and gives no value.
struct Variants<'a>(&'a mut &'static [&'static str]);

impl<'de> de::Deserializer<'de> for Variants<'_> {
    type Error = de::value::Error;

    fn deserialize_any<V: de::Visitor<'de>>(self, _: V) -> Result<V::Value, Self::Error> {
        Err(de::Error::custom("only an enum is asked for"))
    }

    fn deserialize_enum<V: de::Visitor<'de>>(
        self,
        _: &'static str,
        variants: &'static [&'static str],
        _: V,
    ) -> Result<V::Value, Self::Error> {
        *self.0 = variants;
        Err(de::Error::custom("its names are noted"))
    }

    serde::forward_to_deserialize_any! {
        bool i8 i16 i32 i64 i128 u8 u16 u32 u64 u128 f32 f64 char str string bytes byte_buf option
        unit unit_struct newtype_struct seq tuple tuple_struct map struct identifier ignored_any
    }
}

fn reasons() -> Vec<verdict::Reason> {
    let mut names: &'static [&'static str] = &[];
    verdict::Reason::deserialize(Variants(&mut names)).unwrap_err();
    let reason = |name: &&str| {
        let deserializer = de::value::StrDeserializer::<de::value::Error>::new(name);
        verdict::Reason::deserialize(deserializer).unwrap()
    };
    names.iter().map(reason).collect()
}

/// A caller shows an operator a refusal whose reason the page does not explain, or explains with
/// another status.
#[test]
fn page_on_refusals_has_a_section_for_each_reason_and_no_other() {
    let page = page("docs/operators/refusals.md");
    let sections: collections::BTreeMap<String, &str> = page
        .text
        .split("\n### `")
        .skip(1)
        .filter_map(|section| section.split_once('`'))
        .map(|(name, text)| (name.to_owned(), text))
        .collect();
    let reasons = reasons();
    assert!(reasons.len() > 20, "{reasons:?}");
    for reason in &reasons {
        let text = sections.get(&reason.to_string());
        let text = text.unwrap_or_else(|| panic!("no section on `{reason}`"));
        let status = format!("Status {}", reason.status());
        assert!(text.contains(&status), "`{reason}`: no `{status}`");
        for part in ["Caller:", "Operator:"] {
            assert!(text.contains(part), "`{reason}`: no `{part}`");
        }
    }
    assert_eq!(sections.len(), reasons.len(), "{:?}", sections.keys());
}

/// The words of a command line, up to a pipe or a redirection.
fn words(line: &str) -> Vec<String> {
    let mut words = vec![String::new()];
    let mut quote = None;
    for c in line.chars() {
        match (c, quote) {
            ('|' | '>' | '#', None) => break,
            ('\'' | '"', None) => quote = Some(c),
            (c, Some(open)) if c == open => quote = None,
            (' ', None) => words.push(String::new()),
            (c, _) => words.last_mut().unwrap().push(c),
        }
    }
    words.retain(|word| !word.is_empty());
    words
}

fn sageshed(args: &[String]) -> process::Output {
    process::Command::new(env!("CARGO_BIN_EXE_sageshed"))
        .args(args)
        .current_dir(root())
        .env_remove("SAGESHED_CONTROL")
        .env_remove("SAGESHED_TOKEN")
        .output()
        .unwrap()
}

fn said(output: &process::Output) -> String {
    let text = |bytes| String::from_utf8_lossy(bytes).into_owned();
    text(&output.stdout) + &text(&output.stderr)
}

/// An operator copies a line from a page and the program does not know the option. With `--help`
/// added the program reads the whole line and does nothing.
#[test]
fn program_takes_every_command_line_of_the_pages() {
    let mut count = 0;
    for page in pages() {
        for line in page.command_lines() {
            let Some(args) = line.strip_prefix("sageshed ") else {
                continue;
            };
            count += 1;
            let mut args = words(args);
            let examples = args.iter().any(|arg| arg.starts_with("examples/"));
            if !(examples && args.starts_with(&["config".to_owned(), "check".to_owned()])) {
                args.push("--help".to_owned());
            }
            let output = sageshed(&args);
            let page = page.file.display();
            assert!(output.status.success(), "{page}: {line}\n{}", said(&output));
        }
    }
    assert!(count > 20, "only {count} command lines found");
}

/// A newcomer runs a line of the README or of CONTRIBUTING.md, and the script, package, test or
/// example that it names is not there.
#[test]
fn scripts_packages_and_tests_on_the_pages_exist() {
    let mut count = 0;
    for name in ["README.md", "CONTRIBUTING.md"] {
        for line in page(name).command_lines() {
            let words = words(&line);
            let Some(program) = words.first() else {
                continue;
            };
            if program.contains('/') {
                count += 1;
                assert!(root().join(program).is_file(), "{name}: {line}");
            } else if program == "cargo" {
                count += 1;
                assert_eq!(missing(&words), None, "{name}: {line}");
            }
        }
    }
    assert!(count > 5, "only {count} lines found");
}

/// What a `cargo` line names that is not there.
fn missing(words: &[String]) -> Option<String> {
    let after = |options: &[&str]| {
        let at = words
            .iter()
            .position(|word| options.contains(&word.as_str()))?;
        words.get(at + 1).cloned()
    };
    let folder = match after(&["-p", "--package"]).as_deref() {
        None | Some("sageshed") => root().to_owned(),
        Some("sageshed-spec") => root().join("spec"),
        Some(package) => root().join("crates").join(package),
    };
    let named = [
        ("--test", "tests"),
        ("--example", "examples"),
        ("--bin", "src/bin"),
    ];
    let exists = |sub: &str, name: &str| {
        let sub = folder.join(sub);
        sub.join(format!("{name}.rs")).is_file() || sub.join(name).join("main.rs").is_file()
    };
    if !folder.join("Cargo.toml").is_file() {
        return Some(folder.display().to_string());
    }
    named.iter().find_map(|(option, sub)| {
        let name = after(&[*option])?;
        (!exists(sub, &name)).then_some(name)
    })
}

/// An operator copies a rule from the page, and `config check` has something against it.
#[test]
fn rules_shown_pass_the_check() {
    let page = page("docs/operators/rules.md");
    let mut count = 0;
    for block in page.blocks() {
        if block.kind != "toml" {
            continue;
        }
        let common = block.above.strip_prefix("<!-- check: ");
        let common = common.and_then(|rest| rest.strip_suffix(" -->"));
        let common = common.unwrap_or_else(|| panic!("no settings named above {}", block.text));
        let rules = settings::parse_rules("rules.md", &block.text).unwrap();
        let checked = rules.check(&settings::common(&root().join(common)).unwrap());
        assert_eq!(checked, settings::Checked::default(), "{}", block.text);
        count += 1;
    }
    assert!(count >= 3, "only {count} blocks found");
}

/// An operator looks for a metric on the page, or for one of the page in the output.
#[test]
fn page_on_metrics_lists_those_of_the_code() {
    let read = |role: &str| {
        fs::read_to_string(root().join(format!("src/sageshed/{role}/metrics.rs"))).unwrap()
    };
    let code = read("entry") + &read("control") + &read("gateway");
    let mut expected = collections::BTreeSet::new();
    for text in code.split('"').skip(1).step_by(2) {
        let name = |text: &str| {
            let usual = |c: &char| c.is_ascii_lowercase() || *c == '_';
            text.chars().take_while(usual).collect::<String>()
        };
        let text = text.strip_prefix("# TYPE ").unwrap_or(text);
        if text.starts_with("sageshed_") {
            expected.insert(name(text));
        }
    }
    let page = page("docs/operators/metrics.md");
    let rows = page
        .prose()
        .filter_map(|line| line.strip_prefix("| `sageshed_"));
    let stem = |name: &str| {
        let name = format!("sageshed_{name}");
        let name = name.strip_suffix("_total").unwrap_or(&name);
        name.strip_suffix("_seconds").unwrap_or(name).to_owned()
    };
    let listed: collections::BTreeSet<String> = rows
        .filter_map(|row| row.split('`').next())
        .map(stem)
        .collect();
    assert_eq!(listed, expected);
}

/// systemd kills an entry process while requests are in flight, because the unit's limit is shorter
/// than the stop that the settings allow.
#[test]
fn sample_unit_leaves_time_for_the_default_shutdown() {
    let unit = fs::read_to_string(root().join("docs/operators/sageshed-entry.service")).unwrap();
    let limit = unit
        .lines()
        .find_map(|line| line.strip_prefix("TimeoutStopSec="));
    let limit: u64 = limit.unwrap().parse().unwrap();
    let shutdown = settings::Shutdown::default();
    let needed = shutdown.notice_ms.0 + shutdown.longest_ms.0;
    assert!(limit * 1_000 > needed, "{limit} s for {needed} ms");
}
