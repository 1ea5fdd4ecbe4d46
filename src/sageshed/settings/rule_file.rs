//! Files with rules, as operators write them: one rule, or several under `[[rules]]`.

use std::{collections, path};

use sageshed_decide::{names, rules as decide_rules, settings as decide};
use sageshed_types::rules;

use super::{
    Common, Problem, Problems,
    reader::{self, Place},
};

/// The rules of one file, in order.
#[derive(Debug, Clone)]
pub struct RuleFile {
    /// The rules.
    pub rules: Vec<rules::Rule>,
    places: collections::BTreeMap<String, Place>,
}

/// What the checks of rules against the common settings found.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Checked {
    /// The rules must not be taken.
    pub errors: Vec<Problem>,
    /// The rules work, but surely not as meant.
    pub warnings: Vec<Problem>,
}

/// Reads the rules at `file`.
pub fn read_rules(file: &path::Path) -> Result<RuleFile, Problems> {
    let source = reader::Source::read(file).map_err(|problem| Problems {
        list: vec![problem],
    })?;
    read(&source)
}

/// Reads rules from `text`; problems name `origin` as the file.
pub fn parse_rules(origin: &str, text: &str) -> Result<RuleFile, Problems> {
    read(&reader::Source::of(path::Path::new(origin), text))
}

fn read(source: &reader::Source) -> Result<RuleFile, Problems> {
    let mut reader = source.reader().map_err(|list| Problems { list })?;
    let (located, problems) = if reader.has("rules") {
        let list = reader.list::<rules::Rule>("rules");
        (list, reader.finish())
    } else {
        let rule = reader.whole::<rules::Rule>();
        (rule.into_iter().collect(), reader.problems())
    };
    let places = located
        .iter()
        .map(|it| (it.value.id.clone(), it.place.clone()))
        .collect();
    let rules = located.into_iter().map(|it| it.value).collect();
    Problems::or(problems, RuleFile { rules, places })
}

impl RuleFile {
    /// Checks the rules, as if they were all that is in force, against what `common` offers.
    #[must_use]
    pub fn check(&self, common: &Common) -> Checked {
        let set = rules::RuleSet {
            revision: rules::Revision(0),
            rules: self.rules.clone(),
        };
        let mut checked = Checked::default();
        for finding in decide_rules::check(&set, &names_of(common)) {
            let place = self.places.get(&finding.rule).cloned().unwrap_or_default();
            let message = format!(
                "rule `{}`: {}; {}",
                finding.rule, finding.problem, finding.advice
            );
            let problem = place.problem("id", message);
            match finding.level {
                decide_rules::Level::Error => checked.errors.push(problem),
                decide_rules::Level::Warning => checked.warnings.push(problem),
            }
        }
        checked
    }
}

/// Why `rules` must not be put in force with what `common` offers; empty if nothing speaks against
/// it. Each problem says what to do.
#[must_use]
pub fn rule_errors(rules: &[rules::Rule], common: &Common) -> Vec<String> {
    let set = rules::RuleSet {
        revision: rules::Revision(0),
        rules: rules.to_vec(),
    };
    let findings = decide_rules::check(&set, &names_of(common)).into_iter();
    findings
        .filter(|finding| finding.level == decide_rules::Level::Error)
        .map(|it| format!("rule `{}`: {}; {}", it.rule, it.problem, it.advice))
        .collect()
}

/// The names that rules may use.
fn names_of(common: &Common) -> names::Names {
    let first = common.vms.first();
    let mut names = names::Names::new(&decide::Settings {
        vm: first.map(|vm| vm.name.clone()).unwrap_or_default(),
        availability_zone: first
            .map(|vm| vm.availability_zone.clone())
            .unwrap_or_default(),
        entries: 1,
        classes: common.classes.clone(),
        callers: common.callers.clone(),
        models: common.models.clone(),
        services: common.services.iter().map(|it| it.name.clone()).collect(),
        policy: common.routing.clone(),
    });
    for vm in &common.vms {
        names.zones.intern(&vm.availability_zone);
    }
    names
}
